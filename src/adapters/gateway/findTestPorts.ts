/** Finds UDP ports for the VMs of a test. */

import { createSocket } from 'node:dgram';

/** @returns ports that are free at the time of the call */
export async function findTestPorts(count: number): Promise<readonly number[]> {
  const sockets = await Promise.all(
    Array.from({ length: count }, async () => {
      const socket = createSocket('udp4');
      await new Promise<void>((resolve) => socket.bind(0, '127.0.0.1', resolve));
      return socket;
    }),
  );
  const ports = sockets.map((socket) => socket.address().port);
  for (const socket of sockets) socket.close();
  return ports;
}
