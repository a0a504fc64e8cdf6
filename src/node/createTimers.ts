/** Named timers of one node; setting a name again moves its timer. */

import type { TimerName } from '../decisions/primitive';
import type { SideName } from './nodeMessage';

export interface Timers {
  readonly set: (side: SideName, timer: TimerName, afterMs: number) => void;
  readonly clear: (side: SideName, timer: TimerName) => void;
  readonly clearAll: () => void;
}

/** Longest delay that the runtime keeps, milliseconds. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/**
 * Creates an empty set of timers.
 *
 * @param onFired told when a timer runs out; it is gone by then
 */
export function createTimers(onFired: (side: SideName, timer: TimerName) => void): Timers {
  const handles = new Map<string, NodeJS.Timeout>();
  const clear = (side: SideName, timer: TimerName): void => {
    const key = `${side}/${timer}`;
    clearTimeout(handles.get(key));
    handles.delete(key);
  };
  return {
    clear,
    set: (side, timer, afterMs) => {
      clear(side, timer);
      const key = `${side}/${timer}`;
      const fire = (): void => {
        handles.delete(key);
        onFired(side, timer);
      };
      handles.set(key, setTimeout(fire, Math.min(Math.max(afterMs, 0), MAX_DELAY_MS)));
    },
    clearAll: () => {
      for (const handle of handles.values()) clearTimeout(handle);
      handles.clear();
    },
  };
}
