/** Reads a caller's complete request body, so that it can be sent again where the route allows retries. */

import type { IncomingMessage } from 'node:http';
import { createByteBuffer } from '../../gateway/createByteBuffer';
import type { MemoryReservation } from '../../gateway/createMemoryBudget';

export type RequestBody =
  | { readonly type: 'whole'; readonly body: Buffer | undefined }
  | { readonly type: 'too-large' }
  /** The bodies of all requests together take too much memory. */
  | { readonly type: 'no-memory' }
  /** The caller left before the end of the body. */
  | { readonly type: 'cut' };

/**
 * @param maxBytes maximum size of an accepted body
 * @param memory takes the memory of the body; the caller of this function releases it
 */
export function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
  memory: Pick<MemoryReservation, 'tryAdd'>,
): Promise<RequestBody> {
  const hasBody =
    request.headers['content-length'] !== undefined ||
    request.headers['transfer-encoding'] !== undefined;
  if (!hasBody) return Promise.resolve({ type: 'whole', body: undefined });
  return new Promise((resolve) => {
    const content = createByteBuffer();
    let isRefused = false;
    const refuse = (type: 'too-large' | 'no-memory'): void => {
      isRefused = true;
      resolve({ type });
    };
    request.on('data', (chunk: Buffer) => {
      if (isRefused) return;
      if (content.length() + chunk.length > maxBytes) refuse('too-large');
      else if (memory.tryAdd(chunk.length)) content.append(chunk);
      else refuse('no-memory');
    });
    request.on('end', () => {
      resolve({ type: 'whole', body: content.bytes() });
    });
    request.on('close', () => {
      resolve({ type: 'cut' });
    });
    request.on('error', () => {
      resolve({ type: 'cut' });
    });
  });
}
