/** Stand-in for an engine that writes streams of numbered events, and breaks some of them off. */

import { createServer } from 'node:http';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { listen } from './listen.mjs';

const HEARTBEAT_MS = 1_200;
const EVENT_INTERVAL_MS = 90;
const SLOTS = 134;

/** Events of a whole stream, and the event after which a stream is broken off. */
export const EVENTS = 84;
const BROKEN_OFF_AFTER = 10;

/** @param options.isBrokenOff tells whether the engine breaks off a stream, asked as it begins to run it */
export async function startStreamEngine({ id, service, zone, store, onRun, isBrokenOff }) {
  const born = Date.now();
  let seqNo = 0;
  let address = '';
  const beat = () => {
    seqNo += 1;
    const state = { state: 'ready', coldLeftMs: 0, seqNo, born };
    store.put('servers', id, { service, address, zone, version: 'v1', slots: SLOTS, ...state });
  };
  const run = ({ requestId, last, deadlineMs }, response) => {
    const breaksOff = isBrokenOff();
    let hasBegun = false;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-request-id': requestId,
      'x-response-seal': `seal-${requestId}-${id}`,
    });
    let event = last;
    const timer = setInterval(() => {
      event += 1;
      // A request begins to run with its first token.
      if (!hasBegun) onRun({ requestId, server: id });
      hasBegun = true;
      response.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
      if (event >= EVENTS) response.end();
      else if (breaksOff && event - last >= BROKEN_OFF_AFTER) response.socket.resetAndDestroy();
    }, EVENT_INTERVAL_MS);
    // An engine stops work at the time that it was given.
    const deadline = setTimeout(() => response.destroy(), deadlineMs);
    response.once('close', () => {
      clearInterval(timer);
      clearTimeout(deadline);
    });
  };
  const server = createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      const { headers, url } = request;
      const requestId = headers['x-request-id'];
      if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== id) {
        response.writeHead(421, { 'x-instance-id': id });
        response.end();
      } else if (url === '/health') {
        response.writeHead(200, { 'x-instance-id': id });
        response.end();
      } else if (requestId === undefined) {
        response.writeHead(400, { 'x-not-executed': '1' });
        response.end();
      } else {
        const last = Number(headers['last-event-id'] ?? 0);
        run({ requestId, last, deadlineMs: Number(headers['x-deadline-remaining']) }, response);
      }
    });
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
