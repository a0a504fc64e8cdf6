/**
 * Decides which VM places layers. The executor is a row of the store that changes hands under a
 * condition on its version; orders are safe against two executors at once, since each names the number
 * of orders that the engine must have accepted before.
 */

export interface ExecutorRow {
  readonly vm: string;
  readonly incarnation: string;
  readonly version: number;
}

export interface ExecutorView {
  /** Undefined where nobody holds it. */
  readonly row: ExecutorRow | undefined;
  readonly self: { readonly vm: string; readonly incarnation: string };
  /** VMs that accept callers, this one among them where it does. */
  readonly live: readonly { readonly vm: string; readonly incarnation: string }[];
}

export type ExecutorDecision = 'hold' | 'take' | 'stand-by';

/** @returns whether this VM holds the row, should take it, or leaves it to another */
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
