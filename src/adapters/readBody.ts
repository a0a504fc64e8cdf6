/** Reads the body of a request up to a size limit. */

import type { IncomingMessage } from 'node:http';

export type BodyResult =
  | { readonly type: 'read'; readonly text: string }
  | { readonly type: 'too-large' }
  | { readonly type: 'not-text' }
  | { readonly type: 'aborted' };

/**
 * Reads a body as UTF-8 text. Reading stops at the size limit.
 *
 * @param request the incoming request
 * @param maxBytes maximum size of the body
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return { type: 'too-large' };
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      const bytes = chunk as Uint8Array;
      size += bytes.byteLength;
      if (size > maxBytes) return { type: 'too-large' };
      chunks.push(bytes);
    }
  } catch {
    return { type: 'aborted' };
  }
  try {
    return {
      type: 'read',
      text: new TextDecoder('utf-8', { fatal: true }).decode(Buffer.concat(chunks)),
    };
  } catch {
    return { type: 'not-text' };
  }
}
