/** Reads HTTP/1.1 messages from a socket as RFC 9112 delimits them; shared by the stand-ins. */

import { Buffer } from 'node:buffer';

const HEAD_END = '\r\n\r\n';

function parseHead(text) {
  const [first, ...lines] = text.split('\r\n');
  const headers = {};
  for (const line of lines) {
    const at = line.indexOf(':');
    const name = line.slice(0, at).trim().toLowerCase();
    headers[name] = line.slice(at + 1).trim();
  }
  return { first, headers };
}

/** @returns the body and the rest, or undefined while chunks are missing */
function takeChunks(bytes) {
  const parts = [];
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) return undefined;
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16);
    const from = lineEnd + 2;
    if (bytes.length < from + size + 2) return undefined;
    if (size === 0) return { body: Buffer.concat(parts), rest: bytes.subarray(from + 2) };
    parts.push(bytes.subarray(from, from + size));
    at = from + size + 2;
  }
}

/**
 * Takes one message from the begin of the bytes.
 *
 * @param bytes what has arrived
 * @param isRequest a request without a length has no body; a response without one ends with its connection
 * @param isEnded whether the other side has ended
 * @returns undefined while it is not complete
 */
export function takeMessage(bytes, { isRequest, isEnded = false }) {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const head = parseHead(bytes.subarray(0, headEnd).toString('latin1'));
  const after = bytes.subarray(headEnd + HEAD_END.length);
  const length = head.headers['content-length'];
  if (head.headers['transfer-encoding'] !== undefined) {
    const taken = takeChunks(after);
    return taken === undefined ? undefined : { ...head, ...taken };
  }
  if (length !== undefined) {
    if (after.length < Number(length)) return undefined;
    return {
      ...head,
      body: after.subarray(0, Number(length)),
      rest: after.subarray(Number(length)),
    };
  }
  if (isRequest) return { ...head, body: Buffer.alloc(0), rest: after };
  return isEnded ? { ...head, body: after, rest: Buffer.alloc(0) } : undefined;
}
