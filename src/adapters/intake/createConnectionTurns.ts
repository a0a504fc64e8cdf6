/**
 * Lets bodies that arrive take turns on the processor. While a body waits, its connection is not read, so its sender has
 * to wait as well.
 */

import type { ConnectionTurns } from '../../intake/connectionTurns';
import { createReadTurns } from '../../intake/createReadTurns';

export interface ConnectionTurnOptions {
  /** Bodies in tiny pieces that are received at the same time; a further one is refused. Without it, all wait. */
  readonly costlyBodies?: number;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

export function createConnectionTurns(options: ConnectionTurnOptions): ConnectionTurns {
  const turns = createReadTurns({ now: options.now, maxCostly: options.costlyBodies });
  const readers = new Map<number, () => void>();
  let lastId = 0;
  let isTurnPlanned = false;
  const planTurn = (): void => {
    const dueInMs = turns.dueInMs();
    if (isTurnPlanned || dueInMs === undefined) return;
    isTurnPlanned = true;
    const run = (): void => {
      isTurnPlanned = false;
      // The turn before may have been in progress when this one was planned.
      const id = turns.dueInMs() === 0 ? turns.next() : undefined;
      if (id !== undefined) readers.get(id)?.();
      planTurn();
    };
    // Other connections are served between two turns also where the next one is due at once.
    if (dueInMs === 0) setImmediate(run);
    else setTimeout(run, dueInMs);
  };
  return {
    open: (message) => {
      lastId += 1;
      const id = lastId;
      const { socket } = message;
      const meter = turns.open(id);
      let isWaiting = false;
      const stop = (): void => {
        isWaiting = true;
        socket.pause();
      };
      const readOn = (): void => {
        isWaiting = false;
        socket.resume();
      };
      const close = (): void => {
        readers.delete(id);
        meter.close();
      };
      readers.set(id, readOn);
      // Node.js reads a connection on whenever a piece has been taken, also one that is to wait.
      message._read = () => {
        if (!isWaiting) socket.resume();
      };
      return {
        spend: (bytes) => {
          const decision = meter.spend(bytes);
          if (decision !== 'continue') stop();
          if (decision === 'wait') planTurn();
          return decision;
        },
        stop,
        end: () => {
          readOn();
          close();
        },
        close,
      };
    },
  };
}
