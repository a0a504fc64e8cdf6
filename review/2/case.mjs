/** Clients use kept connections while the list of servers holds an entry whose address has no valid port. */

import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, runCase, waitUntilReady } from '../lib/case.mjs';
import { openConnection } from '../lib/client.mjs';
import { now } from '../lib/record.mjs';
import * as site from '../lib/site.mjs';

const MACHINES = 3;
const CLIENTS_PER_MACHINE = 5;

/** Work of a call; the sheet's kinds have 21 to 43 ms on average, and up to five times as much. */
const WORK_MS = 60;

/** Time of calm before the entry appears, more than `stableWindowMs`, and time with it. */
const CALM_MS = 4_000;
const PLAYED_MS = 12_000;

/** LOST: more than this many requests from kept connections. */
const ALLOWED_LOSSES = 3;

/** Written by someone who is no engine of the service; the port is above 65535. */
const FORGED_ENTRY = {
  service: site.SERVICE,
  address: '127.0.0.1:80800',
  zone: 'nbo-a',
  version: 'v1',
  slots: 6,
  state: 'ready',
  coldLeftMs: 0,
  seqNo: 1,
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (parts) => {
  const { record, store, startServers, startGateways } = parts;
  const ran = new Map();
  const lost = [];
  let ends = 0;
  store.put('op', 'config', site.createConfiguration());
  await startServers({
    workMs: WORK_MS,
    onRun: ({ requestId, server }) => {
      ran.set(requestId, server);
    },
  });
  const gateways = await startGateways(MACHINES, {
    onEnd: (end) => {
      ends += 1;
      record.write('process ended by itself', end);
    },
  });
  await waitUntilReady(gateways);
  record.write('machines are ready');
  const endMs = now() + CALM_MS + PLAYED_MS;
  let requests = 0;
  let answers = 0;
  const runClient = async (gateway, client) => {
    let connection;
    let isKept = false;
    for (let count = 0; now() < endMs; count += 1) {
      if (connection?.isOpen() !== true) {
        connection = openConnection(gateway.front);
        isKept = false;
      }
      const id = `${gateway.name}-${client}-${count}`;
      requests += 1;
      const result = await connection.send({
        method: 'POST',
        path: `${site.BOOKING}book`,
        headers: site.createHeaders(id),
        body: `{"job":"${id}"}`,
        deadlineMs: site.DEADLINE_MS,
      });
      const isLost = result.end !== 'answered' && isKept && ran.has(id);
      if (isLost) lost.push(id);
      record.write(
        isLost ? 'lost' : 'request',
        { id, ranAt: ran.get(id), isKept, end: result.end, status: result.status },
        { isQuiet: !isLost },
      );
      if (result.end === 'answered') {
        answers += 1;
        isKept = true;
      }
      await sleep(result.end === 'answered' ? 20 : 150);
    }
    connection?.close();
  };
  const clients = gateways.flatMap((gateway) =>
    Array.from({ length: CLIENTS_PER_MACHINE }, (_, client) => runClient(gateway, client)),
  );
  await sleep(CALM_MS);
  if (HAS_TROUBLE) {
    store.put('servers', 'i-other', FORGED_ENTRY);
    record.write('entry of another writer', FORGED_ENTRY);
  }
  await Promise.all(clients);
  record.write('result', { requests, answers, ran: ran.size, ends, lost: lost.length });
  return lost.length > ALLOWED_LOSSES;
});
