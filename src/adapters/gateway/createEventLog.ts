/**
 * The gateway's log: writes JSON lines to the given output. A rate limit drops and counts excess lines, so
 * a burst of failures cannot slow down the requests that are still served.
 */

import { createLog } from '../../node/createLog';
import type { LogFields } from '../../gateway/job';

export interface EventLog {
  readonly write: (message: string, fields: LogFields) => void;
  readonly dropped: () => number;
}

export interface EventLogOptions {
  readonly vm: string;
  readonly output: (line: string) => void;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

/** Average line rate and burst size of the token bucket. */
const LINES_PER_SECOND = 200;
const BURST_LINES = 400;

const MS_PER_SECOND = 1_000;

export function createEventLog(options: EventLogOptions): EventLog {
  const { vm, output, now } = options;
  const log = createLog({ fields: { vm }, output });
  let tokens = BURST_LINES;
  let filledMs = now();
  let dropped = 0;
  return {
    write: (message, fields) => {
      const nowMs = now();
      tokens = Math.min(
        BURST_LINES,
        tokens + ((nowMs - filledMs) * LINES_PER_SECOND) / MS_PER_SECOND,
      );
      filledMs = nowMs;
      if (tokens < 1) {
        dropped += 1;
        return;
      }
      tokens -= 1;
      const known = Object.entries(fields).filter(
        (entry): entry is [string, string | number | boolean] => entry[1] !== undefined,
      );
      log.write('info', message, Object.fromEntries(known));
    },
    dropped: () => dropped,
  };
}
