import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { closeWithConnection } from './closeWithConnection';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

const PIPELINED = 3;

describe('closeWithConnection', () => {
  let server: Server;

  afterEach(() => {
    server.close();
  });

  // Only the first of them was closed, so the others counted as open for ever.
  it('closes each response whose request waits behind another', async () => {
    const responses: ServerResponse[] = [];
    let closed = 0;
    server = createServer((request, response) => {
      closeWithConnection(request, response);
      response.once('close', () => {
        closed += 1;
      });
      responses.push(response);
      if (responses.length === PIPELINED) request.socket.destroy();
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    caller.on('error', () => undefined);
    caller.write(REQUEST.repeat(PIPELINED));
    await once(caller, 'close');
    expect([closed, responses.every(({ destroyed }) => destroyed)]).toEqual([PIPELINED, true]);
  });
});
