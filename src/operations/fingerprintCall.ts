/** The content of a call as a hash, by which a reused id with another body is told. */

import { createHash } from 'node:crypto';
import type { PlainCall } from './operationMessage';

/** @returns SHA-256 over service, method, path and body, base64url */
export function fingerprintCall(call: PlainCall): string {
  const parts = [call.service, call.method, call.path, call.contentType, call.body];
  return createHash('sha256').update(JSON.stringify(parts)).digest('base64url');
}
