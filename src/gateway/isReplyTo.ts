/**
 * Tells whose reply was received. A server may write the reply to an earlier request, which says nothing of the one that
 * was sent: neither that it was not run, nor what the server wants.
 */

import type { ReplyHead } from './backendProtocol';

/** @returns whether the reply may answer the request; a reply that names none may */
export function isReplyTo({ requestId }: Pick<ReplyHead, 'requestId'>, id: string): boolean {
  return requestId === undefined || requestId === id;
}
