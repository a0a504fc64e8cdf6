/** Derives from the size of a VM how much memory all replies may take of it together. */

const BYTES_PER_MB = 1024 * 1024;

/** Assumed without settings; a VM of the smallest size in use has less, so settings should state it. */
const DEFAULT_MEMORY_MB = 400;

/** As much as request bodies may take; the rest is left to the runtime. */
const MEMORY_SHARE = 0.08;

/** Lets a reply of the largest size be received. */
const MIN_BYTES = 16 * BYTES_PER_MB;

/** @param memoryMb memory that the process may use, MB; undefined if the settings do not state it */
export function computeReplyBytes(memoryMb = DEFAULT_MEMORY_MB): number {
  return Math.max(MIN_BYTES, Math.floor(memoryMb * BYTES_PER_MB * MEMORY_SHARE));
}
