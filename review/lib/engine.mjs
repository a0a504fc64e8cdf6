/**
 * Stand-in for an engine that holds layers of a model: runs streams as the first engine of a chain, sends its
 * report, and keeps its entry in the store. The other engines of a chain only have to answer reports and orders.
 */

import { createServer } from 'node:http';
import { clearInterval, setInterval } from 'node:timers';
import { listen } from './ports.mjs';
import { now } from './record.mjs';

/** Time between two events, far below the target of the route. */
const EVENT_GAP_MS = 25;

/**
 * @param options.layers layers that it holds, `from` and `target`
 * @param options.onRun called when a stream begins to run
 * @param options.listEvents all events of a request, each with `id` and `data`
 */
export async function startEngine({ id, service, zone, store, layers, onRun, listEvents }) {
  const born = Date.now();
  const running = new Set();
  const held = [{ ...layers, version: 1 }];
  const respond = (response, status, body = {}, headers = {}) => {
    response.writeHead(status, { 'content-type': 'application/json', ...headers });
    response.end(JSON.stringify(body));
  };
  const report = (response) => {
    respond(response, 200, {
      stage: 'both',
      models: [{ name: 'm0', version: 1, adapters: [] }],
      layers: held,
      busy: false,
      seqNo: 1,
      born,
      queued: 0,
      running: running.size,
      kvUsed: 0,
      kvTotal: 5_000_000,
      handles: 0,
      pace: 1,
      stalled: [],
    });
  };
  const order = (text, response) => {
    const { operation, from, target, id: requestId } = JSON.parse(text);
    if (operation === 'repath') respond(response, running.has(requestId) ? 200 : 404);
    else respond(response, from === layers.from && target === layers.target ? 200 : 409);
  };
  const runStream = (request, response) => {
    const requestId = request.headers['x-request-id'];
    const path = request.headers['x-hop-count'] ?? '';
    const last = request.headers['last-event-id'];
    if ((request.headers['x-expect-instance'] ?? id) !== id) {
      respond(response, 421);
      return;
    }
    running.add(requestId);
    onRun?.({ server: id, requestId, path, lastEventId: last, atMs: now() });
    const events = listEvents(requestId);
    let next = events.findIndex((event) => event.id === last) + 1;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-request-id': requestId,
      'x-response-seal': `3e1b.07.${requestId}`,
    });
    const timer = setInterval(() => {
      const event = events[next];
      if (event !== undefined) response.write(`id: ${event.id}\ndata: ${event.data}\n\n`);
      next += 1;
      if (next >= events.length) response.end();
    }, EVENT_GAP_MS);
    response.once('close', () => {
      clearInterval(timer);
      running.delete(requestId);
    });
  };
  const server = createServer((request, response) => {
    let text = '';
    request.on('data', (chunk) => {
      text += chunk.toString();
    });
    request.on('end', () => {
      if (request.url === '/-/report') report(response);
      else if (request.url === '/-/order') order(text, response);
      else if (request.url === '/health') respond(response, 200, {}, { 'x-instance-id': id });
      else runStream(request, response);
    });
  });
  const address = await listen(server);
  const publish = () =>
    store.put('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 134,
      state: 'ready',
      coldLeftMs: 0,
      stage: 'both',
      models: [{ name: 'm0', version: 1, adapters: [] }],
      layers: held,
      kind: 'h100',
      seqNo: 1,
      born,
    });
  publish();
  return {
    id,
    address,
    publish,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
