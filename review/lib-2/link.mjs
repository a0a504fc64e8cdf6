/** A link to an engine that can be cut: its connections are reset, and new ones are refused. */

import { connect, createServer } from 'node:net';
import { listen } from './listen.mjs';

export async function openLink(target) {
  const [host, port] = target.split(':');
  const open = new Set();
  const track = (socket) => {
    open.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => open.delete(socket));
  };
  const server = createServer((near) => {
    const far = connect(Number(port), host);
    track(near);
    track(far);
    near.pipe(far).pipe(near);
    far.once('close', (hadError) => (hadError ? near.resetAndDestroy() : near.destroySoon()));
    near.once('close', () => far.destroy());
  });
  const address = await listen(server);
  return {
    address,
    cut: () => {
      server.close();
      for (const socket of open) socket.resetAndDestroy();
    },
    heal: () => {
      if (!server.listening) server.listen(Number(address.split(':')[1]), host);
    },
    close: () => {
      for (const socket of open) socket.destroy();
      server.close();
    },
  };
}
