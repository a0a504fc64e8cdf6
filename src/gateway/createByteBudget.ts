/** Bounds what a backend server may send, in bytes and in pieces. */

/** Cost of a piece of any size, as each costs processor time; less than a usual event of a stream. */
const MIN_PIECE_BYTES = 128;

export interface ByteBudget {
  /** @returns whether the piece is within the budget */
  readonly trySpend: (bytes: number) => boolean;
}

export function createByteBudget(maxBytes: number): ByteBudget {
  let left = maxBytes;
  return {
    trySpend: (bytes) => {
      left -= Math.max(bytes, MIN_PIECE_BYTES);
      return left >= 0;
    },
  };
}
