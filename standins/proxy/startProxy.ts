/** A loopback proxy that harms the connections which pass through it. */

import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { listenLocally } from './listenLocally';

/**
 * `mute` keeps connections open and passes nothing, `deaf` only what comes from the callee. A connection
 * that lost bytes so stays silent for good: no network passes later bytes without the earlier ones.
 */
export type ProxyMode = 'pass' | 'slow' | 'mute' | 'deaf' | 'refuse';

export interface FaultProxy {
  readonly address: string;
  readonly setMode: (mode: ProxyMode) => void;
  /** Resets every open connection. */
  readonly reset: () => void;
  readonly close: () => void;
}

/** Delay of every piece in a slow proxy, milliseconds: several times the pause between events. */
const SLOW_MS = 80;

/** Starts a proxy before an address. */
export async function startProxy(target: string): Promise<FaultProxy> {
  const [host, port] = target.split(':');
  const open = new Set<Socket>();
  let mode: ProxyMode = 'pass';
  const track = (socket: Socket): void => {
    open.add(socket);
    socket.once('close', () => open.delete(socket));
    // Resets are the proxy's work; both ends see them.
    socket.on('error', () => undefined);
  };
  const pipe = (from: Socket, to: Socket, blocked: readonly ProxyMode[]): void => {
    let isDead = false;
    let waiting = 0;
    let tail = Promise.resolve();
    /** Bytes stay in order also where the delay ends between two pieces. */
    const inOrder = (work: () => void): void => {
      if (mode !== 'slow' && waiting === 0) {
        work();
        return;
      }
      waiting += 1;
      const dueMs = performance.now() + (mode === 'slow' ? SLOW_MS : 0);
      tail = tail
        .then(() => sleep(Math.max(0, dueMs - performance.now())))
        .then(() => {
          waiting -= 1;
          work();
        });
    };
    from.on('data', (chunk: Buffer) => {
      isDead ||= blocked.includes(mode);
      if (!isDead) inOrder(() => to.write(chunk));
    });
    from.on('end', () => {
      if (!isDead) inOrder(() => to.end());
    });
    from.on('close', (hadError) => {
      if (hadError) to.resetAndDestroy();
    });
  };
  const server = createServer({ allowHalfOpen: true }, (caller) => {
    track(caller);
    if (mode === 'refuse') {
      caller.resetAndDestroy();
      return;
    }
    const callee = connect({ host, port: Number(port), allowHalfOpen: true });
    track(callee);
    callee.on('error', () => caller.resetAndDestroy());
    pipe(caller, callee, ['mute', 'deaf']);
    pipe(callee, caller, ['mute']);
  });
  const address = await listenLocally(server);
  const reset = (): void => {
    for (const socket of [...open]) socket.resetAndDestroy();
  };
  return {
    address,
    setMode: (next) => {
      mode = next;
    },
    reset,
    close: () => {
      reset();
      server.close();
    },
  };
}
