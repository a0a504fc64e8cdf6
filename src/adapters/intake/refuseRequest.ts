/**
 * Refuses a request whose body may still be on its way. The answer is sent at once, and the body is not received to
 * its end: a small one is discarded, so that the connection can go on; otherwise the connection closes as soon as
 * the caller has had time to read the answer, which a reset would discard.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { BackendProtocol } from '../../gateway/backendProtocol';
import { refuseJob } from '../gateway/refuseJob';
import type { RefusalOptions, RefusalReason } from '../gateway/refuseJob';

export interface RequestRefusal extends RefusalOptions {
  readonly reason: RefusalReason;
  readonly protocol: BackendProtocol;
}

/** Most of a body that is discarded; larger than the bodies of usual requests. */
const MAX_DISCARDED_BYTES = 256 * 1024;
const MAX_DISCARDED_PIECES = 1_024;

/** Time in which a caller can read its answer, milliseconds: several round trips between regions. */
const LINGER_MS = 500;

export function refuseRequest(
  request: IncomingMessage,
  response: ServerResponse,
  { reason, protocol, ...options }: RequestRefusal,
): void {
  const announced = Number(request.headers['content-length'] ?? 0);
  const isUnread =
    !request.complete && (announced > 0 || request.headers['transfer-encoding'] !== undefined);
  const isLast = options.isLast === true || announced > MAX_DISCARDED_BYTES;
  if (!isUnread || response.headersSent) {
    refuseJob(response, reason, protocol, options);
    return;
  }
  const closeLater = (): void => {
    const timer = setTimeout(() => {
      request.socket.destroy();
    }, LINGER_MS);
    request.socket.once('close', () => {
      clearTimeout(timer);
    });
  };
  discardBody(request, closeLater);
  if (!isLast) {
    refuseJob(response, reason, protocol, options);
    return;
  }
  // Node.js would close the connection as soon as the response has ended.
  refuseJob(response, reason, protocol, { ...options, isLast, keepsOpen: true });
  request.once('end', () => {
    response.end();
  });
  closeLater();
}

/** @param onExcess called once if the body is too large to be discarded; the connection is not read any more */
function discardBody(request: IncomingMessage, onExcess: () => void): void {
  let bytes = 0;
  let pieces = 0;
  let isOver = request.socket.isPaused();
  // Node.js reads a connection on whenever a piece has been taken. Its own read also marks the body as taken;
  // otherwise the end of the answer removes the listener below.
  const read = request._read.bind(request);
  request._read = (size) => {
    if (!isOver) read(size);
  };
  request.on('data', (piece: Buffer) => {
    bytes += piece.length;
    pieces += 1;
    if (isOver || (bytes <= MAX_DISCARDED_BYTES && pieces <= MAX_DISCARDED_PIECES)) return;
    isOver = true;
    request.socket.pause();
    onExcess();
  });
}
