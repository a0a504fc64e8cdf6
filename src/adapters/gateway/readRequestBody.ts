/** Reads a caller's complete request body, so that it can be sent again where the route allows retries. */

import type { IncomingMessage } from 'node:http';

export type RequestBody =
  | { readonly type: 'whole'; readonly body: Buffer | undefined }
  | { readonly type: 'too-large' }
  /** The caller left before the end of the body. */
  | { readonly type: 'cut' };

/**
 * @param maxBytes maximum size of an accepted body
 */
export function readRequestBody(request: IncomingMessage, maxBytes: number): Promise<RequestBody> {
  const hasBody =
    request.headers['content-length'] !== undefined ||
    request.headers['transfer-encoding'] !== undefined;
  if (!hasBody) return Promise.resolve({ type: 'whole', body: undefined });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resolve({ type: 'too-large' });
      else chunks.push(chunk);
    });
    request.on('end', () => {
      resolve({ type: 'whole', body: Buffer.concat(chunks) });
    });
    request.on('close', () => {
      resolve({ type: 'cut' });
    });
    request.on('error', () => {
      resolve({ type: 'cut' });
    });
  });
}
