/**
 * Named timers of one node; setting a name again moves its timer.
 *
 * After a pause of the whole process every timer is overdue, while what came in meanwhile still waits
 * in the sockets. The router's timers would then take streams for stalled whose tokens are there
 * already. So an overdue timer of the router is put off by a grace, in which that input is read; if
 * it is not set anew by then, it fires. Timers of the other sides fire at once: the fleet side has to
 * learn of the pause before anything else happens.
 */

import { performance } from 'node:perf_hooks';
import type { TimerName } from '../decisions/primitive';
import { OVERDUE_GRACE_MS, OVERDUE_MS } from './constants';
import type { SideName } from './nodeMessage';

export interface Timers {
  readonly set: (side: SideName, timer: TimerName, afterMs: number) => void;
  readonly clear: (side: SideName, timer: TimerName) => void;
  readonly clearAll: () => void;
}

export interface TimersOptions {
  /** Told when a timer runs out; it is gone by then. */
  readonly onFired: (side: SideName, timer: TimerName) => void;
  /** Monotonic clock, milliseconds. */
  readonly now?: () => number;
}

/** Longest delay that the runtime keeps, milliseconds. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/**
 * Creates an empty set of timers.
 *
 * @param options who is told, and the clock
 */
export function createTimers(options: TimersOptions): Timers {
  const { onFired, now = () => performance.now() } = options;
  const handles = new Map<string, NodeJS.Timeout>();
  const clear = (side: SideName, timer: TimerName): void => {
    const key = `${side}/${timer}`;
    clearTimeout(handles.get(key));
    handles.delete(key);
  };
  const arm = (side: SideName, timer: TimerName, afterMs: number, mayPutOff: boolean): void => {
    const key = `${side}/${timer}`;
    const dueAtMs = now() + afterMs;
    const fire = (): void => {
      if (mayPutOff && now() - dueAtMs > OVERDUE_MS) {
        arm(side, timer, OVERDUE_GRACE_MS, false);
        return;
      }
      handles.delete(key);
      onFired(side, timer);
    };
    handles.set(key, setTimeout(fire, Math.min(Math.max(afterMs, 0), MAX_DELAY_MS)));
  };
  return {
    clear,
    set: (side, timer, afterMs) => {
      clear(side, timer);
      arm(side, timer, afterMs, side === 'router');
    },
    clearAll: () => {
      for (const handle of handles.values()) clearTimeout(handle);
      handles.clear();
    },
  };
}
