/**
 * Ends a response with its connection. The runtime does so only for the response that is being sent; one that waits behind
 * it, since its caller has sent several requests at once, would stay open for ever.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';

export function closeWithConnection(
  { socket }: Pick<IncomingMessage, 'socket'>,
  response: ServerResponse,
): void {
  const end = (): void => {
    response.destroy();
    response.emit('close');
  };
  // Each part of the gateway that works on a request listens for its end.
  response.setMaxListeners(0);
  socket.setMaxListeners(0);
  socket.once('close', end);
  response.once('close', () => {
    socket.off('close', end);
  });
}
