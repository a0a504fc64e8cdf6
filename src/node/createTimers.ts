/**
 * Named timers of one node; setting a timer again reschedules it.
 *
 * After a pause of the process every timer is overdue, while input that arrived meanwhile is still
 * unread in the sockets. The router's timers would then treat a stream as stalled although its tokens
 * have arrived. An overdue timer of the router is therefore deferred by a grace period in which that
 * input is read; it fires unless it is set again by then. Timers of the other components fire at once:
 * the fleet component has to detect the pause before anything else happens.
 */

import { performance } from 'node:perf_hooks';
import type { TimerName } from '../decisions/primitive';
import { OVERDUE_GRACE_MS, OVERDUE_THRESHOLD_MS } from './constants';
import type { ComponentName } from './nodeMessage';

export interface Timers {
  readonly set: (side: ComponentName, timer: TimerName, afterMs: number) => void;
  readonly clear: (side: ComponentName, timer: TimerName) => void;
  readonly clearAll: () => void;
}

export interface TimersOptions {
  /** Called when a timer expires, after its removal. */
  readonly onFired: (side: ComponentName, timer: TimerName) => void;
  /** Monotonic clock, milliseconds. */
  readonly now?: () => number;
}

/** Longest delay that Node.js supports, milliseconds. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/**
 * Creates an empty set of timers.
 *
 * @param options the callback for expired timers, and the clock
 */
export function createTimers(options: TimersOptions): Timers {
  const { onFired, now = () => performance.now() } = options;
  const handles = new Map<string, NodeJS.Timeout>();
  const clear = (side: ComponentName, timer: TimerName): void => {
    const key = `${side}/${timer}`;
    clearTimeout(handles.get(key));
    handles.delete(key);
  };
  const arm = (
    side: ComponentName,
    timer: TimerName,
    afterMs: number,
    isDeferrable: boolean,
  ): void => {
    const key = `${side}/${timer}`;
    const dueAtMs = now() + afterMs;
    const fire = (): void => {
      if (isDeferrable && now() - dueAtMs > OVERDUE_THRESHOLD_MS) {
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
