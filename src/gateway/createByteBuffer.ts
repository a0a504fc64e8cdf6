/**
 * Joins bytes that arrive in pieces. A list of the pieces would take many times the memory of the bytes where
 * the pieces are tiny, and joining them again for each piece would take time with the square of their number.
 */

export interface ByteBuffer {
  readonly append: (piece: Buffer) => void;
  readonly length: () => number;
  /** All bytes so far. */
  readonly bytes: () => Buffer;
}

const FIRST_CAPACITY_BYTES = 4 * 1024;

export function createByteBuffer(): ByteBuffer {
  let buffer = Buffer.alloc(0);
  let length = 0;
  return {
    append: (piece) => {
      const needed = length + piece.length;
      if (needed > buffer.length) {
        const grown = Buffer.alloc(Math.max(needed, 2 * buffer.length, FIRST_CAPACITY_BYTES));
        buffer.copy(grown, 0, 0, length);
        buffer = grown;
      }
      piece.copy(buffer, length);
      length = needed;
    },
    length: () => length,
    bytes: () => buffer.subarray(0, length),
  };
}
