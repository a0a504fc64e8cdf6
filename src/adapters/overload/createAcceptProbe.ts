/**
 * Measures how long new connections wait until this process accepts them. The runtime accepts one connection in each run
 * of the event loop, so they queue in the system while the runs are long, and nothing states for how long. A connection
 * to the own listener waits as long as those of callers.
 */

import type { Server, Socket } from 'node:net';
import { connect } from 'node:net';

export interface AcceptProbe {
  /** Begins a measurement unless one runs or the last one was a moment ago. */
  readonly measure: () => void;
  /** Time that new connections wait, as measured last, milliseconds; at least that of the running measurement. */
  readonly delayMs: () => number;
}

export interface AcceptProbeOptions {
  readonly server: Server;
  /** IP and port of the listener. */
  readonly address: string;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

interface RunningProbe {
  readonly socket: Socket;
  readonly sinceMs: number;
}

/** Time between two measurements, milliseconds. */
const INTERVAL_MS = 250;

/** Time after which a measurement says nothing of the present, milliseconds. */
const VALID_MS = 1_000;

export function createAcceptProbe({ server, address, now }: AcceptProbeOptions): AcceptProbe {
  const [host = '', port = ''] = address.split(':');
  let running: RunningProbe | undefined;
  let measuredMs = 0;
  let endedMs = Number.NEGATIVE_INFINITY;
  const end = (probe: RunningProbe): void => {
    if (running !== probe) return;
    running = undefined;
    endedMs = now();
    measuredMs = endedMs - probe.sinceMs;
  };
  server.on('connection', (accepted: Socket) => {
    const probe = running;
    if (probe === undefined || accepted.remotePort !== probe.socket.localPort) return;
    if (accepted.remoteAddress !== host) return;
    end(probe);
    probe.socket.destroy();
    accepted.destroy();
  });
  return {
    measure: () => {
      if (running !== undefined || now() - endedMs < INTERVAL_MS) return;
      const socket = connect({ host, port: Number(port) });
      const probe = { socket, sinceMs: now() };
      running = probe;
      socket.on('error', () => undefined);
      socket.once('close', () => {
        end(probe);
      });
      socket.unref();
    },
    delayMs: () => {
      const runningMs = running === undefined ? 0 : now() - running.sinceMs;
      return Math.max(runningMs, now() - endedMs < VALID_MS ? measuredMs : 0);
    },
  };
}
