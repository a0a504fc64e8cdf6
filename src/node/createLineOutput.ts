/**
 * Writes lines to a stream whose reader may be slow or gone. Lines that the reader does not take are kept up to a
 * bound, and then dropped and counted.
 */

import type { Writable } from 'node:stream';

export interface LineOutput {
  readonly write: (line: string) => void;
  /** Number of lines that were dropped. */
  readonly dropped: () => number;
}

export interface LineOutputOptions {
  /** Most bytes that wait for the reader. */
  readonly maxWaitingBytes?: number;
}

const DEFAULT_MAX_WAITING_BYTES = 1024 * 1024;

export function createLineOutput(
  stream: Writable,
  { maxWaitingBytes = DEFAULT_MAX_WAITING_BYTES }: LineOutputOptions = {},
): LineOutput {
  let dropped = 0;
  // There is nowhere to log that the log can't be written; the count tells.
  stream.on('error', () => {
    dropped += 1;
  });
  return {
    write: (line) => {
      if (stream.writable && stream.writableLength < maxWaitingBytes) stream.write(`${line}\n`);
      else dropped += 1;
    },
    dropped: () => dropped,
  };
}
