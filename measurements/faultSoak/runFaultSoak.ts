/**
 * One run of the fault soak: real daemons as processes, stand-ins for the store and the backend servers
 * behind proxies, callers, and faults in series that overlap. What callers were told is held against what
 * the servers ran; after the last fault the system has to serve again.
 */

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createRandom } from '../../src/random/createRandom';
import { createConfiguration, LAYERS } from '../../platform/standins/createConfiguration';
import { DEADLINE_MS, sendRequest } from '../../platform/standins/sendRequest';
import type { CallerRequestKind } from '../../platform/standins/sendRequest';
import { startEngine, STREAM_EVENTS } from '../../platform/standins/startEngine';
import { startStore } from '../../platform/standins/startStore';
import { SOAK_FAULTS } from './soakFaults';
import type { SoakSite } from './soakFaults';
import type { SoakLedger } from './soakLedger';
import { createSoakLedger } from './soakLedger';
import { startGatewayProcess } from './startGatewayProcess';

export interface FaultSoakOptions {
  readonly seed: number;
  /** Faults that are begun, one after the other. */
  readonly faults: number;
  /** The bundled daemon. */
  readonly program: string;
}

export interface FaultSoakRun {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly sent: number;
  readonly served: number;
  readonly findings: readonly string[];
  /** Log lines of the daemons, for a run with findings. */
  readonly log: readonly string[];
}

const GATEWAYS = 3;
const DOMAINS = ['a', 'b', 'c'] as const;

/** Mean pause between requests and between faults, and mean length of a fault, milliseconds. */
const REQUEST_MS = 12;
const FAULT_GAP_MS = 500;
const FAULT_MS = 1_200;

/** Longest time for a fleet that is left alone to serve, milliseconds. */
const RECOVERY_MS = 30_000;

const KINDS: readonly CallerRequestKind[] = ['stream', 'stream', 'once', 'lookup'];

/** Plays the seed. */
export async function runFaultSoak(options: FaultSoakOptions): Promise<FaultSoakRun> {
  const random = createRandom(options.seed);
  const ledger = createSoakLedger({ layers: LAYERS, streamBody });
  const folder = mkdtempSync(join(tmpdir(), 'fault-soak-'));
  const site = await startSite(ledger, folder, options.program);
  const caller = createCaller(site, ledger, options.seed);
  const findings: string[] = [];
  if (!(await caller.serves(RECOVERY_MS))) findings.push('nothing was served before the faults');
  const faults: string[] = [];
  const lifts: Promise<void>[] = [];
  const traffic = caller.start(random.integer(1_000_000));
  for (let count = 0; count < options.faults; count += 1) {
    const name = random.pick(Object.keys(SOAK_FAULTS));
    const lift = SOAK_FAULTS[name]?.(site, random);
    faults.push(name);
    lifts.push(sleep(Math.min(4_000, random.exponential(FAULT_MS))).then(lift));
    await sleep(random.exponential(FAULT_GAP_MS));
  }
  await Promise.all(lifts);
  await traffic.stop();
  if (!(await caller.serves(RECOVERY_MS))) findings.push('nothing was served after the faults');
  await sleep(DEADLINE_MS);
  findings.push(...ledger.findings());
  findings.push(...site.gateways.flatMap((gateway) => gateway.unexpectedEnds()));
  for (const part of [...site.gateways, ...site.engines, site.store]) part.close();
  rmSync(folder, { recursive: true });
  const log = findings.length === 0 ? [] : site.gateways.flatMap((gateway) => gateway.log());
  return {
    seed: options.seed,
    faults,
    sent: caller.sent(),
    served: ledger.served(),
    findings,
    log,
  };
}

function streamBody(requestId: string): string {
  return Array.from(
    { length: STREAM_EVENTS },
    (_, index) => `id: ${index + 1}\ndata: ${requestId}:${index + 1}\n\n`,
  ).join('');
}

async function startSite(ledger: SoakLedger, folder: string, program: string): Promise<SoakSite> {
  const store = await startStore();
  const onRun = ledger.noteRun;
  const kinds = DOMAINS.flatMap((zone) => [zone, zone, zone].map((name) => ({ zone: name })));
  const engines = await Promise.all([
    ...kinds.map(({ zone }, index) =>
      startEngine({ id: `m${index}`, service: 'draft', zone, kind: 'card', store, onRun }),
    ),
    ...DOMAINS.map((zone) =>
      startEngine({ id: `p-${zone}`, service: 'desk', zone, kind: undefined, store, onRun }),
    ),
  ]);
  store.put('op', 'config', createConfiguration());
  const gateways = await Promise.all(
    Array.from({ length: GATEWAYS }, (_, index) =>
      startGatewayProcess({
        name: `vm-${index}`,
        zone: DOMAINS[index % DOMAINS.length] ?? 'a',
        program,
        folder,
        storeAddress: store.address,
      }),
    ),
  );
  return { store, engines, gateways };
}

interface SoakCaller {
  /** Sends requests until one of each kind is answered whole, or the time is up. */
  readonly serves: (withinMs: number) => Promise<boolean>;
  /** Sends requests all the time until it is stopped. */
  readonly start: (seed: number) => { readonly stop: () => Promise<void> };
  readonly sent: () => number;
}

function createCaller({ gateways }: SoakSite, ledger: SoakLedger, seed: number): SoakCaller {
  const random = createRandom(seed + 1);
  let sent = 0;
  const ask = async (kind: CallerRequestKind): Promise<boolean> => {
    sent += 1;
    const id = `${kind}-${sent}`;
    const first = random.integer(gateways.length);
    const order = [...gateways.slice(first), ...gateways.slice(0, first)];
    // Noted first: a server may run it before its end is known.
    ledger.noteOutcome(id, kind, { type: 'cut' });
    const outcome = await sendRequest({
      id,
      kind,
      directories: order.map(({ directory }) => directory),
      pick: random.pick,
    });
    if (outcome !== undefined) ledger.noteOutcome(id, kind, outcome);
    return outcome?.type === 'whole';
  };
  const serves = async (withinMs: number): Promise<boolean> => {
    const untilMs = performance.now() + withinMs;
    const missing = new Set<CallerRequestKind>(KINDS);
    while (missing.size > 0 && performance.now() < untilMs) {
      for (const kind of [...missing]) if (await ask(kind)) missing.delete(kind);
      await sleep(REQUEST_MS);
    }
    return missing.size === 0;
  };
  return {
    serves,
    start: (trafficSeed) => {
      const pauses = createRandom(trafficSeed);
      const open = new Set<Promise<unknown>>();
      let isStopped = false;
      const loop = async (): Promise<void> => {
        while (!isStopped) {
          const request: Promise<unknown> = ask(pauses.pick(KINDS)).finally(() =>
            open.delete(request),
          );
          open.add(request);
          await sleep(pauses.exponential(REQUEST_MS));
        }
      };
      const running = loop();
      return {
        stop: async () => {
          isStopped = true;
          await running;
          await Promise.all(open);
        },
      };
    },
    sent: () => sent,
  };
}
