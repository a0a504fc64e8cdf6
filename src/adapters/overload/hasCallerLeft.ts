/**
 * Finds out whether the caller of a request that has just been read is still there. A caller that left while its request
 * waited here is seen only when its connection is read once more.
 */

import type { IncomingMessage } from 'node:http';

/** Resolves after the next run of the event loop, in which the end of the connection is read. */
export function hasCallerLeft({ socket }: Pick<IncomingMessage, 'socket'>): Promise<boolean> {
  return new Promise((resolve) => {
    // The first callback runs at the end of the current run.
    setImmediate(() => {
      setImmediate(() => {
        resolve(socket.destroyed || socket.readableEnded);
      });
    });
  });
}
