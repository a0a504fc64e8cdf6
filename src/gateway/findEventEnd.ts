/** Finds where an event of a stream ends. */

/** An empty line after a line, with either kind of line end. */
const EVENT_ENDS = ['\n\n', '\n\r\n'] as const;

/** @returns the offset behind the first event, or undefined if none is complete */
export function findEventEnd(bytes: Buffer, from = 0): number | undefined {
  const ends = EVENT_ENDS.flatMap((end) => {
    const at = bytes.indexOf(end, from);
    return at < 0 ? [] : [at + end.length];
  });
  return ends.length === 0 ? undefined : Math.min(...ends);
}
