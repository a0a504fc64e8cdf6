/**
 * Runs one stand-in as a process: `node dist/standins/standin.js KIND '{"port": 0, ...}'`. Prints its
 * host and port as one line of JSON once it listens.
 */

import type { Server } from './http/startServer';
import { startEngine, type EngineOptions } from './engine/startEngine';
import { startMembership, type MembershipOptions } from './membership/startMembership';
import { startObjectStore, type ObjectStoreOptions } from './objectStore/startObjectStore';
import { startPlainService, type PlainServiceOptions } from './plainService/startPlainService';
import { startTable, type TableOptions } from './table/startTable';

const kinds: Readonly<Record<string, (options: unknown) => Promise<Server>>> = {
  table: (options) => startTable(options as TableOptions),
  'object-store': (options) => startObjectStore(options as ObjectStoreOptions),
  membership: (options) => startMembership(options as MembershipOptions),
  engine: (options) => startEngine(options as EngineOptions),
  'plain-service': (options) => startPlainService(options as PlainServiceOptions),
};

async function main(): Promise<void> {
  const [kind = '', options = '{}'] = process.argv.slice(2);
  const start = kinds[kind];
  if (start === undefined) {
    console.error(`Unknown stand-in '${kind}'; expected one of: ${Object.keys(kinds).join(', ')}`);
    process.exitCode = 2;
    return;
  }
  const { host, port } = await start(JSON.parse(options));
  console.log(JSON.stringify({ host, port }));
}

void main();
