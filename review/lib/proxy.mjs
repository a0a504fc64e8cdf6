/** A proxy between a machine and another address, whose open connections can fall silent. */

import { connect, createServer } from 'node:net';
import { listen } from './ports.mjs';

/** @param target address to which connections are passed on */
export async function startProxy(target) {
  const [host, port] = target.split(':');
  let pairs = new Set();
  const server = createServer({ noDelay: true, pauseOnConnect: false }, (near) => {
    const far = connect({ host, port: Number(port), noDelay: true });
    const pair = { near, far, isSilent: false };
    pairs.add(pair);
    const link = (from, to) => {
      from.on('data', (chunk) => {
        if (!pair.isSilent) to.write(chunk);
      });
      from.on('end', () => {
        if (!pair.isSilent) to.end();
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        if (pair.isSilent) return;
        to.destroy();
        pairs.delete(pair);
      });
    };
    link(near, far);
    link(far, near);
  });
  const address = await listen(server);
  return {
    address,
    /** All connections that are open now carry nothing any more, and are not reset; new ones work. */
    silence: () => {
      for (const pair of pairs) pair.isSilent = true;
      const silenced = pairs.size;
      pairs = new Set();
      return silenced;
    },
    close: () => {
      for (const { near, far } of pairs) {
        near.destroy();
        far.destroy();
      }
      server.close();
    },
  };
}
