/**
 * Stand-in for an engine that holds layers of a model: runs streams as the first engine of a chain, sends its
 * report, loads layers when it is ordered to, and keeps its entry in the store. The other engines of a chain only
 * have to answer reports and orders. It can crash, and is back some seconds later, empty and under a new id.
 */

import { createServer } from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { HOST, listen } from './ports.mjs';
import { now } from './record.mjs';

/** Time to load half of the layers: `loadS` of the configuration times their share. */
const LOAD_MS = 700;

/** Silence after which the entry of an engine that has ended is removed: three heartbeats. */
const LEASE_MS = 3_600;

/**
 * @param options.layers layers that it holds at first, `from` and `target`
 * @param options.onRun called when a stream begins to run
 * @param options.listEvents all events of a request, each with `id` and `data`
 * @param options.gapMs time between two events
 * @param options.findCrashMs time from the begin of a run until it crashes the engine; undefined if it does not
 * @param options.restartMs time from a crash until the engine is back
 */
export async function startEngine(options) {
  const { service, zone, store, onRun, listEvents, gapMs = 25 } = options;
  const { findCrashMs = () => undefined, onCrash, restartMs = 2_500 } = options;
  let { id } = options;
  let starts = 1;
  let born = Date.now();
  let held = options.layers === undefined ? [] : [{ ...options.layers, version: 1 }];
  let seqNo = 1;
  let isBusy = false;
  let isDown = false;
  let isClosed = false;
  const running = new Set();
  const publish = () => {
    if (isDown) return;
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
  };
  const respond = (response, status, body = {}, headers = {}) => {
    response.writeHead(status, { 'content-type': 'application/json', ...headers });
    response.end(JSON.stringify(body));
  };
  const report = (response) => {
    const load = { queued: 0, running: running.size, kvUsed: 0, kvTotal: 5_000_000, handles: 0 };
    const models = [{ name: 'm0', version: 1, adapters: [] }];
    const state = { stage: 'both', models, layers: held, busy: isBusy, seqNo, born };
    respond(response, 200, { ...state, ...load, pace: 1, stalled: [] });
  };
  const place = ({ from, target, expectedRev }, response) => {
    if (held[0]?.from === from && held[0]?.target === target) {
      respond(response, 200);
      return;
    }
    if (isBusy || (expectedRev !== undefined && expectedRev !== seqNo)) {
      respond(response, 409);
      return;
    }
    seqNo += 1;
    isBusy = true;
    held = [];
    publish();
    const ordered = born;
    setTimeout(() => {
      if (born !== ordered || isDown) return;
      isBusy = false;
      held = [{ from, target, version: 1 }];
      publish();
    }, LOAD_MS);
    respond(response, 202);
  };
  const order = (text, response) => {
    const body = JSON.parse(text);
    if (body.operation === 'place') place(body, response);
    else if (body.operation === 'repath') respond(response, running.has(body.id) ? 200 : 404);
    else respond(response, 400);
  };
  const crash = () => {
    if (isDown || isClosed) return;
    isDown = true;
    onCrash?.({ server: id, atMs: now() });
    const [endedId, port] = [id, Number(address.split(':')[1])];
    server.close();
    server.closeAllConnections();
    setTimeout(() => store.put('servers', endedId, undefined), LEASE_MS);
    setTimeout(() => {
      if (isClosed) return;
      starts += 1;
      id = `${options.id}.${starts}`;
      born = Date.now();
      held = [];
      seqNo = 0;
      isBusy = false;
      isDown = false;
      running.clear();
      server.listen(port, HOST, publish);
    }, restartMs);
  };
  const runStream = (request, response) => {
    const requestId = request.headers['x-request-id'];
    const last = request.headers['last-event-id'];
    if ((request.headers['x-expect-instance'] ?? id) !== id) {
      respond(response, 421);
      return;
    }
    // An engine that does not hold its part does not run the request.
    const part = (request.headers['x-hop-count'] ?? '').split(',')[0]?.split('=')[1];
    if (held.length === 0 || part !== `${held[0].from}-${held[0].target}`) {
      respond(response, 421, {}, { 'at-server': address });
      return;
    }
    running.add(requestId);
    onRun?.({ server: id, requestId, url: request.url, lastEventId: last, atMs: now() });
    const crashMs = findCrashMs(request.url);
    if (crashMs !== undefined) setTimeout(crash, crashMs);
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
    }, gapMs);
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
  publish();
  return {
    id,
    address,
    close: () => {
      isClosed = true;
      server.closeAllConnections();
      server.close();
    },
  };
}
