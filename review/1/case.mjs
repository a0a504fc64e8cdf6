/** A request crashes each engine that runs it, a second after it has begun, and comes again and again. */

import { dirname } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { HAS_TROUBLE, runCase, waitUntilReady } from '../lib/case.mjs';
import { openConnection } from '../lib/client.mjs';
import { startEngine } from '../lib/engine.mjs';
import { BOUNDS } from '../lib/gateway.mjs';
import {
  createModelService,
  createStreamRoute,
  DRAFT,
  LAYERS,
  MODEL_SERVICE,
} from '../lib/model.mjs';
import { now } from '../lib/record.mjs';
import * as site from '../lib/site.mjs';

const MACHINES = 2;
const CALM_MS = 3_500;
const PLAYED_MS = 40_000;

/** From the begin of a harmful run to the end of its engine. */
const CRASH_MS = 1_000;

/** Events of a stream and the time between two of them, as on the sheet. */
const EVENTS = 84;
const GAP_MS = 40;

const DEADLINE_MS = 20_000;

/** Time after which a client comes again. */
const AGAIN_MS = 1_000;

const SOUND_CLIENTS = 4;

/** BUDGET: crashes after which the request is known, and retries that may reach engines after `stableWindowMs`. */
const KNOWN_AFTER = 3;
const ALLOWED_RETRIES = 3;

const HARMFUL = `${DRAFT}harmful`;

const listEvents = (requestId) =>
  Array.from({ length: EVENTS }, (_, index) => ({
    id: String(index + 1),
    data: `${requestId}/${index + 1}`,
  }));

/** Four chains of two engines. */
const ENGINES = Array.from({ length: 8 }, (_, index) => ({
  id: `i-${index}`,
  layers: index % 2 === 0 ? { from: 0, target: LAYERS / 2 } : { from: LAYERS / 2, target: LAYERS },
}));

await runCase(dirname(fileURLToPath(import.meta.url)), async (parts) => {
  const { record, store, add, startGateways } = parts;
  const configuration = site.createConfiguration();
  configuration.routes.push(createStreamRoute(site.SITE_HOST));
  configuration.services.push(createModelService());
  store.put('op', 'config', configuration);
  const crashes = [];
  const harmfulRuns = [];
  for (const engine of ENGINES) {
    add(
      await startEngine({
        ...engine,
        service: MODEL_SERVICE,
        zone: 'nbo-a',
        store,
        listEvents,
        gapMs: GAP_MS,
        findCrashMs: (url) => (HAS_TROUBLE && url === HARMFUL ? CRASH_MS : undefined),
        onCrash: ({ server, atMs }) => {
          crashes.push(atMs);
          record.write('engine crashed', { server, crashes: crashes.length });
        },
        onRun: ({ server, requestId, url, lastEventId, atMs }) => {
          if (url === HARMFUL) harmfulRuns.push(atMs);
          const event = url === HARMFUL ? 'harmful run' : 'run';
          record.write(event, { id: requestId, server, lastEventId }, { isQuiet: url !== HARMFUL });
        },
      }),
    );
  }
  const gateways = await startGateways(MACHINES);
  await waitUntilReady(gateways);
  await sleep(CALM_MS);
  const endMs = now() + PLAYED_MS;
  const outcomes = { whole: 0, refused: 0, cut: 0 };
  const runClient = async (name, path, body, gapMs) => {
    for (let count = 0; now() < endMs; count += 1) {
      const id = `${name}-${count}`;
      const connection = openConnection(gateways[count % MACHINES].front);
      const {
        end,
        status,
        headers,
        body: answer,
      } = await connection.send({
        method: 'POST',
        path,
        headers: {
          ...site.createHeaders(id),
          'X-Model': 'm0',
          'X-Token-Counts': `100,${EVENTS * 2}`,
          'X-Prompt-Prefix': `5c1e07a2:40,${name === 'harmful' ? 'bad0' : count.toString(16)}:60`,
        },
        body,
        deadlineMs: DEADLINE_MS,
      });
      connection.close();
      const events = (answer ?? '').match(/^data: /gm) ?? [];
      const isWhole = status === 200 && events.length === EVENTS;
      const kind = isWhole ? 'whole' : status === 503 ? 'refused' : 'cut';
      if (path !== HARMFUL) outcomes[kind] += 1;
      const retryMs = status === 503 ? Number(headers['retry-after'] ?? 0) * 1_000 : 0;
      record.write(
        path === HARMFUL ? 'harmful answered' : 'answered',
        { id, end, status, events: events.length, retryMs },
        { isQuiet: path !== HARMFUL },
      );
      await sleep(Math.min(Math.max(gapMs, retryMs), DEADLINE_MS / 3));
    }
  };
  await Promise.all([
    runClient('harmful', HARMFUL, '{"ring":"harmful"}', AGAIN_MS),
    ...Array.from({ length: SOUND_CLIENTS }, (_, client) =>
      runClient(`sound-${client}`, `${DRAFT}sound-${client}`, `{"ring":${client}}`, 300),
    ),
  ]);
  const knownMs = (crashes[KNOWN_AFTER - 1] ?? Infinity) + BOUNDS.stableWindowMs;
  const retries = harmfulRuns.filter((atMs) => atMs > knownMs).length;
  record.write('result', { crashes: crashes.length, retries, ...outcomes });
  return retries > ALLOWED_RETRIES;
});
