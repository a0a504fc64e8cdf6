/** Splits the chunks of a byte stream into lines of text of bounded length. */

export interface LineSplitter {
  /** Adds a chunk and returns the non-empty lines that it completes. */
  readonly push: (chunk: Uint8Array) => readonly string[];
  /** Returns the text after the last line break. */
  readonly flush: () => string;
}

/**
 * Creates a splitter.
 *
 * @param maxBytes maximum length of an incomplete line; `push` throws a RangeError beyond it
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
    flush: () => pending + decoder.decode(),
  };
}
