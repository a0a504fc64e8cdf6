/**
 * Tells whether an unusual silence of a stream says anything about its engines. The load: engines so crowded that
 * their streams pause all the time, at dozens of VMs, each of which would ask every engine again and again. While
 * many silences end with an event by themselves, only a few of the VMs ask at once; the others wait until the next
 * event is nearly late. In calm, where a silence is rare, all VMs ask at once.
 */

import type { LogFields } from '../gateway/job';

export interface SilenceAlarms {
  /** Records an event that ended a gap; `isUnusual` if the gap was long enough for a question. */
  readonly recordGap: (isUnusual: boolean) => void;
  /** Whether unusual silences are rare at this VM, so that one tells of a failure. */
  readonly areTelling: () => boolean;
}

/** Length of a period; the current one and the one before are looked at, milliseconds. */
const PERIOD_MS = 1_500;

/** Fewer events say nothing about how common unusual silences are. */
const MIN_EVENTS = 40;

/** Share of events after an unusual silence from which a silence tells nothing; in calm it is far lower. */
const MAX_UNUSUAL_SHARE = 0.03;

interface Period {
  readonly beganMs: number;
  readonly events: number;
  readonly unusual: number;
}

export interface SilenceAlarmOptions {
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
}

export function createSilenceAlarms({ now, log, count }: SilenceAlarmOptions): SilenceAlarms {
  const begin = (): Period => ({ beganMs: now(), events: 0, unusual: 0 });
  let current = begin();
  let previous = begin();
  let wereTelling = true;
  const areTelling = (): boolean => {
    const events = previous.events + current.events;
    const unusual = previous.unusual + current.unusual;
    return events < MIN_EVENTS || unusual <= events * MAX_UNUSUAL_SHARE;
  };
  const advance = (): void => {
    const ageMs = now() - current.beganMs;
    if (ageMs < PERIOD_MS) return;
    if (wereTelling !== areTelling()) {
      wereTelling = !wereTelling;
      const { events, unusual } = current;
      log('silences judged anew', { areTelling: wereTelling, events, unusual });
    }
    previous = ageMs < 2 * PERIOD_MS ? current : begin();
    current = begin();
  };
  return {
    recordGap: (isUnusual) => {
      advance();
      if (isUnusual) count('unusual_event_gaps');
      const { beganMs, events, unusual } = current;
      current = { beganMs, events: events + 1, unusual: unusual + (isUnusual ? 1 : 0) };
    },
    areTelling: () => {
      advance();
      return areTelling();
    },
  };
}
