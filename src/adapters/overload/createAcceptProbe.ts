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
  /** Total time for which the event loop has had nothing to do, milliseconds. */
  readonly idleMs: () => number;
}

interface RunningProbe {
  readonly socket: Socket;
  readonly sinceMs: number;
  /** Total idle time of the event loop at its begin, milliseconds. */
  readonly idleMs: number;
}

/** Time between two measurements, milliseconds. */
const INTERVAL_MS = 250;

/** Idle time from which no connection waits, milliseconds. */
const MIN_IDLE_MS = 1;

export function createAcceptProbe(options: AcceptProbeOptions): AcceptProbe {
  const { server, address, now, idleMs } = options;
  const [host = '', port = ''] = address.split(':');
  let running: RunningProbe | undefined;
  let measuredMs = 0;
  let endedMs = Number.NEGATIVE_INFINITY;
  let idleAtEndMs = 0;
  const end = (probe: RunningProbe): void => {
    if (running !== probe) return;
    running = undefined;
    endedMs = now();
    idleAtEndMs = idleMs();
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
  /** An event loop that has had nothing to do has accepted all connections, so the probe is not among them. */
  const giveUpIfIdle = (): void => {
    if (running === undefined || idleMs() - running.idleMs < MIN_IDLE_MS) return;
    const { socket } = running;
    running = undefined;
    endedMs = now();
    measuredMs = 0;
    socket.destroy();
  };
  return {
    measure: () => {
      giveUpIfIdle();
      if (running !== undefined || now() - endedMs < INTERVAL_MS) return;
      const socket = connect({ host, port: Number(port) });
      const probe = { socket, sinceMs: now(), idleMs: idleMs() };
      running = probe;
      socket.on('error', () => undefined);
      socket.once('close', () => {
        end(probe);
      });
      socket.unref();
    },
    delayMs: () => {
      giveUpIfIdle();
      const runningMs = running === undefined ? 0 : now() - running.sinceMs;
      const hasIdled = idleMs() - idleAtEndMs >= MIN_IDLE_MS;
      return Math.max(runningMs, hasIdled ? 0 : measuredMs);
    },
  };
}
