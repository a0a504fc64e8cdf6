/**
 * Decides which VM is the executor, the one that places layers. A row of the store names the executor and
 * changes by conditional writes on its position. Two executors at once do no harm, since each order states
 * the number of orders that the engine must have accepted before. This must stay so: a store that came back
 * from an older copy may name an earlier holder while the later one still has orders under way.
 */

import type { Position } from '../contracts/position';

export interface ExecutorRow {
  readonly vm: string;
  readonly incarnation: string;
  readonly position: Position;
}

export interface ExecutorView {
  /** Undefined if no VM holds it. */
  readonly row: ExecutorRow | undefined;
  readonly self: { readonly vm: string; readonly incarnation: string };
  /** VMs that accept callers, including this one if it does. */
  readonly live: readonly { readonly vm: string; readonly incarnation: string }[];
}

export type ExecutorDecision = 'hold' | 'take' | 'stand-by';

/** @returns whether this VM holds the row, should claim it, or should leave it to another VM */
export function electExecutor({ row, self, live }: ExecutorView): ExecutorDecision {
  const isOwn = row?.vm === self.vm && row.incarnation === self.incarnation;
  if (isOwn) return 'hold';
  const isHeld =
    row !== undefined &&
    live.some(({ vm, incarnation }) => vm === row.vm && incarnation === row.incarnation);
  if (isHeld) return 'stand-by';
  const [first] = [...live].sort((one, other) => (one.vm < other.vm ? -1 : 1));
  return first?.vm === self.vm ? 'take' : 'stand-by';
}
