/** Splits the chunks of a byte stream into lines of text, with a bound on the longest one. */

export interface LineSplitter {
  /** Takes a chunk and gives the lines that it completes, without the empty ones. */
  readonly push: (chunk: Uint8Array) => readonly string[];
  /** Gives what follows the last line break. */
  readonly rest: () => string;
}

/**
 * Creates a splitter.
 *
 * @param maxBytes longest line; a longer one throws a RangeError
 */
export function createLineSplitter(maxBytes: number): LineSplitter {
  const decoder = new TextDecoder();
  let pending = '';
  return {
    push: (chunk) => {
      const lines = (pending + decoder.decode(chunk, { stream: true })).split('\n');
      pending = lines.pop() ?? '';
      if (pending.length > maxBytes) throw new RangeError(`Line longer than ${maxBytes} bytes`);
      return lines.filter((line) => line !== '');
    },
    rest: () => pending + decoder.decode(),
  };
}
