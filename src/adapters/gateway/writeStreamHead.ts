/** Begins the response to a stream's caller, once: a stream that goes on elsewhere keeps its first head. */

import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type { BackendProtocol } from '../../gateway/backendProtocol';

/** @param headers headers of the reply that the stream begins with */
export function writeStreamHead(
  response: ServerResponse,
  protocol: BackendProtocol,
  status: number,
  headers: IncomingHttpHeaders,
): void {
  if (response.headersSent) return;
  response.statusCode = status;
  for (const [name, value] of Object.entries(protocol.replyHeaders(headers))) {
    if (name !== 'content-length' && value !== undefined) response.setHeader(name, value);
  }
  response.flushHeaders();
}
