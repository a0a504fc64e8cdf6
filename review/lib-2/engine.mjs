/** Stand-in for an engine of a plain service: registers itself, answers its health path and runs requests. */

import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { listen } from './listen.mjs';

const HEARTBEAT_MS = 1_200;
const WORK_MS = 43;

export async function startEngine({ id, service, zone, store, onRun }) {
  const born = Date.now();
  let seqNo = 0;
  let address = '';
  const beat = () => {
    seqNo += 1;
    store.put('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 6,
      state: 'ready',
      coldLeftMs: 0,
      seqNo,
      born,
    });
  };
  const run = (request, response, body) => {
    const requestId = request.headers['x-request-id'];
    if (
      request.headers['x-expect-instance'] !== undefined &&
      request.headers['x-expect-instance'] !== id
    ) {
      response.writeHead(421, { 'x-instance-id': id });
      response.end();
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, { 'x-instance-id': id });
      response.end();
      return;
    }
    if (requestId === undefined) {
      response.writeHead(400, { 'x-not-executed': '1' });
      response.end();
      return;
    }
    onRun({ requestId, server: id, tenant: request.headers['x-tenant'], bytes: body.length });
    setTimeout(() => {
      response.writeHead(200, {
        'x-request-id': requestId,
        'x-response-seal': `seal-${requestId}`,
      });
      response.end(`answer to ${requestId}`);
    }, WORK_MS);
  };
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => run(request, response, Buffer.concat(chunks)));
  });
  address = await listen(server);
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);
  return {
    id,
    address,
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}
