/**
 * Runs of the fault soak that have failed, with the cause. The faults follow from the seed and their number;
 * what they hit also depends on timing, so a case is evidence of its cause and no exact replay.
 */

import { FATAL_KINDS } from './createFatalCallers';
import type { FatalKind } from './createFatalCallers';

export interface SoakCase {
  readonly seed: number;
  /** Number of faults to start. */
  readonly faults: number;
  /** Kinds of requests of which some end each server that runs them. */
  readonly fatalKinds?: readonly FatalKind[];
  /** Whether servers announce limits of requests. */
  readonly hasLimits?: boolean;
  /** Whether VMs are partitioned from all servers. */
  readonly hasPartitions?: boolean;
  readonly cause: string;
  /** Whether the case is part of the test suite. */
  readonly isInSuite: boolean;
}

export const SOAK_CASES: readonly SoakCase[] = [
  {
    seed: 4,
    faults: 7,
    cause: 'streams run on a third server, or break, after two short silences of half the engines',
    isInSuite: true,
  },
  {
    seed: 5,
    faults: 6,
    cause: 'streams break when the engine that takes them over is silent as well',
    isInSuite: true,
  },
  {
    seed: 3,
    faults: 16,
    cause: 'a run that a short silence ended is not counted, so a third server runs the stream',
    isInSuite: false,
  },
  {
    seed: 7,
    faults: 16,
    cause: 'a short silence ends runs of sound engines, and the retry budget allows no other',
    isInSuite: false,
  },
  {
    seed: 8,
    faults: 16,
    cause: 'a short silence ends the run of a sound engine soon after the start',
    isInSuite: false,
  },
  {
    seed: 11,
    faults: 16,
    cause: 'silence of one engine ends its run, and the retry budget allows no other',
    isInSuite: false,
  },
  {
    seed: 14,
    faults: 16,
    cause: 'runs that a short silence ended are not counted; one began only after the silence',
    isInSuite: false,
  },
  {
    seed: 2,
    faults: 16,
    cause: 'all gateways see a stall of 0.4 s, which counts as silence of every engine',
    isInSuite: false,
  },
  {
    seed: 109,
    faults: 8,
    fatalKinds: FATAL_KINDS,
    cause: 'a fatal request is no longer refused once a fatal part explains its crashes',
    isInSuite: false,
  },
  {
    seed: 105,
    faults: 8,
    fatalKinds: FATAL_KINDS,
    cause:
      'a sound request that ran beside a fatal one is refused as well, and can’t show that it is sound',
    isInSuite: false,
  },
  {
    seed: 106,
    faults: 8,
    fatalKinds: FATAL_KINDS,
    cause:
      'a sound request was on three engines that fatal ones ended, and is refused for ten minutes',
    isInSuite: false,
  },
  {
    seed: 114,
    faults: 8,
    fatalKinds: FATAL_KINDS,
    cause: 'a sound request is refused for longer by crashes that a fatal part explains',
    isInSuite: false,
  },
  {
    seed: 604,
    faults: 12,
    fatalKinds: FATAL_KINDS,
    hasLimits: true,
    hasPartitions: true,
    cause: 'a fatal part runs again after all gateways were killed at once',
    isInSuite: false,
  },
  {
    seed: 880004,
    faults: 16,
    fatalKinds: FATAL_KINDS,
    hasLimits: true,
    hasPartitions: true,
    cause: 'all gateways are killed before the third crash, and the count begins anew',
    isInSuite: false,
  },
  {
    seed: 880009,
    faults: 16,
    fatalKinds: FATAL_KINDS,
    hasLimits: true,
    hasPartitions: true,
    cause: 'the end of a partition counts as answers of servers that have ended',
    isInSuite: false,
  },
  {
    seed: 880007,
    faults: 16,
    fatalKinds: FATAL_KINDS,
    hasLimits: true,
    hasPartitions: true,
    cause: 'a harmful stream runs on; its cause was not told apart from that of 880004',
    isInSuite: false,
  },
  {
    seed: 880013,
    faults: 16,
    fatalKinds: FATAL_KINDS,
    hasLimits: true,
    hasPartitions: true,
    cause: 'harmful contents run on; not traced by itself',
    isInSuite: false,
  },
  {
    seed: 880016,
    faults: 16,
    fatalKinds: FATAL_KINDS,
    hasLimits: true,
    hasPartitions: true,
    cause: 'harmful contents run on; not traced by itself',
    isInSuite: false,
  },
  {
    seed: 880020,
    faults: 16,
    fatalKinds: FATAL_KINDS,
    hasLimits: true,
    hasPartitions: true,
    cause: 'harmful contents run on; not traced by itself',
    isInSuite: false,
  },
  {
    seed: 410002,
    faults: 16,
    fatalKinds: FATAL_KINDS,
    hasLimits: true,
    hasPartitions: true,
    cause: 'a harmful stream has no attempt left and is cut; not traced',
    isInSuite: false,
  },
  {
    seed: 410006,
    faults: 16,
    fatalKinds: FATAL_KINDS,
    hasLimits: true,
    hasPartitions: true,
    cause: 'a harmful stream runs on in one of three runs; not traced',
    isInSuite: false,
  },
];
