/** Guards against callers whose endless bodies are read to the end by listeners that have no use for them. */

import { connect } from 'node:net';
import { findFreeAddresses } from '../../standins/proxy/listenOnLoopback';
import { createGatewayMetrics } from './createGatewayMetrics';
import type { GatewayPlatform } from './gatewayPlatform';
import { openAuxiliaryListeners } from './openAuxiliaryListeners';

const PIECE = Buffer.alloc(65_536, 'a');

describe('openAuxiliaryListeners', () => {
  it('answers a request with an endless body and closes its connection', async () => {
    const [address = ''] = await findFreeAddresses(1);
    const servers = openAuxiliaryListeners({
      listen: {
        callers: address,
        readiness: address,
        directory: address,
        peers: address,
        tables: address,
        metrics: address,
      },
      platform: {
        readAddressQuery: () => undefined,
        isReadinessPath: () => true,
      } as unknown as GatewayPlatform,
      metrics: createGatewayMetrics(),
      isReady: () => true,
      addressesFor: () => [],
      validMs: () => 1_000,
      onListenFailure: () => undefined,
    });
    await Promise.all(
      servers.map((server) => new Promise((resolve) => server.once('listening', resolve))),
    );
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    let text = '';
    socket.on('data', (data: Buffer) => {
      text += data.toString();
    });
    socket.on('error', () => undefined);
    const write = (): void => {
      while (!socket.destroyed && socket.write(PIECE));
    };
    socket.on('drain', write);
    socket.write(
      `POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: ${Number.MAX_SAFE_INTEGER}\r\n\r\n`,
    );
    write();
    await new Promise((resolve) => socket.once('close', resolve));
    for (const server of servers) server.close();
    expect(text).toMatch(/^HTTP\/1\.1 200 /);
  });
});
