/**
 * Records what servers receive while they announce limits of requests, and finds limits that all VMs together
 * have exceeded, once they had time to learn of them.
 */

import { countLargestWindow } from '../../src/gateway/countLargestWindow';

export interface LimitRecord {
  readonly recordReceived: (server: string, atMs: number) => void;
  /** Records that a server begins to announce a limit, or ends to if undefined. */
  readonly recordLimit: (server: string, perSecond: number | undefined, atMs: number) => void;
  /** Violations, one line each. */
  readonly findings: () => readonly string[];
}

/** Time for the VMs to learn of a limit, milliseconds; the users' bound for a stable state. */
export const LEARNING_MS = 3_000;

const WINDOW_MS = 4_000;

/** A window may hold one and a half times what the limit allows, and a few requests more. */
const LIMIT_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;

interface LimitSpan {
  readonly server: string;
  readonly perSecond: number;
  readonly fromMs: number;
  toMs: number;
}

export function createLimitRecord(): LimitRecord {
  const received = new Map<string, number[]>();
  const spans: LimitSpan[] = [];
  return {
    recordReceived: (server, atMs) => {
      const known = received.get(server) ?? [];
      known.push(atMs);
      received.set(server, known);
    },
    recordLimit: (server, perSecond, atMs) => {
      const open = spans.find((span) => span.server === server && span.toMs === Infinity);
      if (open !== undefined) open.toMs = atMs;
      if (perSecond !== undefined) spans.push({ server, perSecond, fromMs: atMs, toMs: Infinity });
    },
    findings: () =>
      spans.flatMap(({ server, perSecond, fromMs, toMs }) => {
        const times = (received.get(server) ?? []).filter(
          (atMs) => atMs >= fromMs + LEARNING_MS && atMs < toMs,
        );
        const most = countLargestWindow(times, WINDOW_MS);
        const allowed = LIMIT_FACTOR * perSecond * (WINDOW_MS / 1_000) + EXTRA_REQUESTS;
        return most > allowed
          ? [`${server} received ${most} in 4 s at a limit of ${perSecond} a second`]
          : [];
      }),
  };
}
