/**
 * Bounds the bytes that precede a reply's body. Node.js bounds each head, but not the number of interim
 * responses or of blank lines ahead of the reply.
 */

import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Four heads as large as Node.js accepts: the reply's own and a few interim ones. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Destroys the request and calls `onExceeded` where the bound is passed without a reply. */
export function limitReplyHead(outgoing: ClientRequest, onExceeded: () => void): void {
  let isOver = false;
  let bytes = 0;
  outgoing.once('socket', (socket: Socket) => {
    // Runs after the parser's own listener, so a reply in the same bytes is known already.
    const countBytes = (chunk: Buffer): void => {
      bytes += chunk.length;
      if (isOver || bytes <= MAX_HEAD_BYTES) return;
      stop();
      onExceeded();
      outgoing.destroy();
    };
    const stop = (): void => {
      isOver = true;
      socket.off('data', countBytes);
    };
    socket.on('data', countBytes);
    outgoing.once('response', stop);
    outgoing.once('close', stop);
  });
}
