/** Tells whether a reply states where it ends; without that it ends with its connection, for whatever reason. */

import type { IncomingMessage } from 'node:http';

export function isFramed({ headers }: Pick<IncomingMessage, 'headers'>): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
