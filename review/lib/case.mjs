/** Runs a case: builds a small deployment of stand-ins and machines, and ends all of it afterwards. */

import { existsSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { ROOT, startGateway } from './gateway.mjs';
import { createRecord } from './record.mjs';
import { startServer } from './server.mjs';
import { SERVICE } from './site.mjs';
import { startStore } from './store.mjs';

/** Exit codes of a script. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Longest run of a script, milliseconds. */
const LIMIT_MS = 110_000;

const ZONES = ['nbo-a', 'nbo-b', 'nbo-c'];

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/**
 * @param folder folder of the case, for its record
 * @param play plays the case; resolves to whether the rule was broken, undefined if the case could not run
 */
export async function runCase(folder, play) {
  const record = createRecord(folder);
  const temporary = mkdtempSync(join(tmpdir(), 'citronpass-case-'));
  const parts = [];
  let result;
  const finish = () => {
    for (const part of parts.reverse()) part.close();
    rmSync(temporary, { recursive: true, force: true });
    const verdict = { true: 'broken', false: 'held' }[String(result)] ?? 'the case could not run';
    record.write('verdict', { trouble: HAS_TROUBLE, verdict });
    process.exit({ true: BROKEN, false: HELD }[String(result)] ?? NOT_RUN);
  };
  const giveUp = (cause) => {
    record.write('given up', { cause });
    result = undefined;
    finish();
  };
  setTimeout(() => {
    giveUp('time is up');
  }, LIMIT_MS).unref();
  // An error of a stand-in says nothing about the rule.
  for (const event of ['uncaughtException', 'unhandledRejection']) {
    process.on(event, (error) => giveUp(String(error?.stack ?? error)));
  }
  // No process of the case outlives it.
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => giveUp(signal));
  const add = (part) => {
    parts.push(part);
    return part;
  };
  const store = add(await startStore());
  try {
    if (!existsSync(join(ROOT, 'target/citronpassd.js')))
      throw new Error('the program is not built');
    result = await play({
      record,
      store,
      add,
      /** Starts plain servers of the service, one a zone. */
      startServers: (options) =>
        Promise.all(
          ZONES.map(async (zone, index) =>
            add(await startServer({ id: `i-${index}`, service: SERVICE, zone, store, ...options })),
          ),
        ),
      /** Starts machines; they may not be ready yet. */
      startGateways: async (count, options = {}) =>
        Promise.all(
          Array.from({ length: count }, async (_, index) =>
            add(
              await startGateway({
                name: `front-${index + 1}`,
                zone: ZONES[index % ZONES.length],
                storeAddress: store.address,
                folder: temporary,
                onEnd: (end) => {
                  record.write('process ended', end);
                },
                ...options,
              }),
            ),
          ),
        ),
    });
  } catch (error) {
    record.write('error', { error: error.stack });
  }
  finish();
}

/** Waits until all machines are ready. */
export async function waitUntilReady(gateways) {
  const ready = await Promise.all(gateways.map((gateway) => gateway.waitUntilReady()));
  if (!ready.every(Boolean)) throw new Error('a machine did not become ready');
}
