/** UDP between VMs: msgpack bodies, sealed with the fleet's key. */

import { createSocket } from 'node:dgram';
import { decode, encode } from '@msgpack/msgpack';
import type { Address } from '../vms/vm';
import { MAX_DATAGRAM_BYTES } from './constants';
import type { Seal } from './seal';

export interface GossipSocketOptions {
  readonly listen: Address;
  readonly seal: Seal;
  /** Told of each datagram that carries a valid seal. */
  readonly onDatagram: (from: Address, body: unknown) => void;
  /** Told why a datagram was dropped, sent or received. */
  readonly onDropped: (reason: 'oversized' | 'unsealed' | 'undecodable' | 'unsent') => void;
}

export interface GossipSocket {
  readonly address: Address;
  readonly send: (to: Address, body: unknown) => void;
  readonly close: () => void;
}

/**
 * Binds the socket.
 *
 * @param options where to listen, the seal and the listeners
 */
export async function createGossipSocket(options: GossipSocketOptions): Promise<GossipSocket> {
  const { listen, seal, onDatagram, onDropped } = options;
  const socket = createSocket(listen.host.includes(':') ? 'udp6' : 'udp4');
  socket.on('message', (message, from) => {
    const opened = seal.open(message);
    if (opened === undefined) {
      onDropped('unsealed');
      return;
    }
    const body = tryDecode(opened);
    if (body === undefined) onDropped('undecodable');
    else onDatagram({ host: from.address, port: from.port }, body);
  });
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(listen.port, listen.host, () => {
      socket.off('error', reject);
      resolve();
    });
  });
  socket.on('error', () => {
    onDropped('unsent');
  });
  let isOpen = true;
  return {
    address: { host: listen.host, port: socket.address().port },
    send: (to, body) => {
      if (!isOpen) return;
      const bytes = seal.close(encode(body, { ignoreUndefined: true }));
      if (bytes.byteLength > MAX_DATAGRAM_BYTES) {
        onDropped('oversized');
        return;
      }
      socket.send(bytes, to.port, to.host, (error) => {
        if (error !== null) onDropped('unsent');
      });
    },
    close: () => {
      if (isOpen) socket.close();
      isOpen = false;
    },
  };
}

function tryDecode(bytes: Uint8Array): unknown {
  try {
    return decode(bytes);
  } catch {
    return undefined;
  }
}
