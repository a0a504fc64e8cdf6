/**
 * Bounds the bytes that all requests of a VM hold at the same time, so that large ones that come together are refused
 * and do not end the process.
 */

export interface MemoryReservation {
  /** @returns whether so many bytes more are within the budget; they are reserved then */
  readonly tryAdd: (bytes: number) => boolean;
  /** Gives back all that it holds; without effect afterwards. */
  readonly release: () => void;
}

export interface MemoryBudget {
  readonly open: () => MemoryReservation;
}

export function createMemoryBudget(maxBytes: number): MemoryBudget {
  let reservedBytes = 0;
  return {
    open: () => {
      let ownBytes = 0;
      return {
        tryAdd: (bytes) => {
          if (reservedBytes + bytes > maxBytes) return false;
          reservedBytes += bytes;
          ownBytes += bytes;
          return true;
        },
        release: () => {
          reservedBytes -= ownBytes;
          ownBytes = 0;
        },
      };
    },
  };
}
