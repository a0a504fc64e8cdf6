/**
 * Sends and receives datagrams between VMs. Where the address can't be bound it is tried again. Nothing is sent
 * meanwhile, as the runtime would bind the socket to another port. Datagrams take a bounded share of the processor; those
 * beyond it count as lost, which the exchange tolerates.
 */

import { createSocket } from 'node:dgram';
import type { LogFields } from '../../gateway/job';
import { createTimeShare } from '../../overload/createTimeShare';

export interface PeerSocket {
  /** Sends a datagram; one that can't be sent counts as lost, which receivers tolerate up to a limit. */
  readonly send: (address: string, datagram: Uint8Array) => void;
  /** Closes the socket; nothing is sent or received afterwards. */
  readonly close: () => void;
}

export interface PeerSocketOptions {
  /** IP and port of this VM. */
  readonly address: string;
  readonly onDatagram: (datagram: Uint8Array) => void;
  readonly log: (message: string, fields: LogFields) => void;
  /** Monotonic clock, milliseconds. */
  readonly now?: () => number;
  /** Time from a failed attempt to bind to the next one, milliseconds. */
  readonly retryMs?: number;
}

const DEFAULT_RETRY_MS = 500;

const LOG_INTERVAL_MS = 1_000;

/** Starts to bind the socket. */
export function createPeerSocket(options: PeerSocketOptions): PeerSocket {
  const { address, onDatagram, log, retryMs = DEFAULT_RETRY_MS } = options;
  const { now = () => performance.now() } = options;
  const timeShare = createTimeShare({ now });
  let dropped = 0;
  let loggedMs = Number.NEGATIVE_INFINITY;
  const [host, port] = address.split(':');
  const socket = createSocket('udp4');
  let isBound = false;
  /** What is sent meanwhile waits for the address. */
  let isBinding = false;
  let isClosed = false;
  const bind = (): void => {
    if (isClosed) return;
    isBinding = true;
    socket.bind(Number(port), host);
  };
  socket.on('listening', () => {
    isBound = true;
  });
  socket.on('error', (error) => {
    log('peer socket failed', { error: error.message, isBound });
    if (isBound) return;
    isBinding = false;
    setTimeout(bind, retryMs);
  });
  const handle = (datagram: Uint8Array): void => {
    try {
      onDatagram(datagram);
    } catch (error) {
      // Anyone can send to the port; what no decoder foresees must not end the process.
      log('datagram not handled', { error: String(error), bytes: datagram.length });
    }
  };
  const recordDropped = (): void => {
    dropped += 1;
    if (now() - loggedMs < LOG_INTERVAL_MS) return;
    loggedMs = now();
    log('datagrams dropped', { datagrams: dropped });
    dropped = 0;
  };
  socket.on('message', (datagram) => {
    const isHandled = timeShare.run(() => {
      handle(datagram);
    });
    if (!isHandled) recordDropped();
  });
  bind();
  return {
    send: (to, datagram) => {
      if (isClosed || !(isBound || isBinding)) return;
      const [peerHost, peerPort] = to.split(':');
      socket.send(datagram, Number(peerPort), peerHost, () => undefined);
    },
    close: () => {
      if (isClosed) return;
      isClosed = true;
      socket.close();
    },
  };
}
