/** What a long randomised run does: the work of callers and operators, and the faults, as data. */

/** Kinds of calls to the plain service. */
export type CallKind =
  /** Not idempotent, and nothing settles a lost reply. */
  | 'deposit'
  /** The backend server honours the key. */
  | 'booking'
  /** The backend server offers a status look-up. */
  | 'hold'
  /** A deposit under the caller's own key. */
  | 'own-key'
  /** A deposit with no id at all. */
  | 'once'
  | 'lookup';

/** Work: it stays when a failing run is shrunk. */
export type Work =
  | {
      readonly type: 'call';
      readonly atMs: number;
      readonly kind: CallKind;
      readonly caller: number;
      /** Sent twice at the same time, through two VMs. */
      readonly isDoubled: boolean;
      /** Sent once more, late, after it was answered. */
      readonly isRepeated: boolean;
      /** Sent again later under the same id with another body. */
      readonly isMisused: boolean;
    }
  | {
      readonly type: 'request';
      readonly atMs: number;
      readonly prompt: readonly number[];
      readonly maxTokens: number;
    }
  /** Two operators change the same workspace at the same moment. */
  | { readonly type: 'change'; readonly atMs: number; readonly share: number };

/** A fault; `pick` chooses what it hits. */
export interface Fault {
  readonly type: FaultType;
  readonly atMs: number;
  readonly pick: number;
  readonly forMs: number;
}

export const faultTypes = [
  'crash',
  'pause',
  'partition',
  'store-cut',
  'store-down',
  'store-lossy',
  'slow-network',
  'drain',
  'server-crash',
  'server-flaky',
  'server-leaving',
  'engine-crash',
  'engine-stall',
  'engine-wrong',
] as const;

export type FaultType = (typeof faultTypes)[number];

export interface SoakPlan {
  readonly seed: number;
  readonly nodes: number;
  /** Results that each VM remembers. */
  readonly remembered: number;
  readonly work: readonly Work[];
  readonly faults: readonly Fault[];
  /** When the last item is due, milliseconds. */
  readonly endsAtMs: number;
}
