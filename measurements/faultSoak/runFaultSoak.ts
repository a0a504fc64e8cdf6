/**
 * Runs the fault soak for one seed. Real daemon processes serve callers in front of proxied stand-ins for
 * the store and the backend servers, while faults begin one after the other and overlap. The run compares
 * the outcomes that callers received with what the servers ran, and checks that the system serves again
 * after the last fault.
 */

import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createRandom } from '../../src/random/createRandom';
import { LAYERS, ROUTE_LIMITS } from '../../platform/standins/createConfiguration';
import { DEADLINE_MS, sendRequest } from '../../platform/standins/sendRequest';
import type { CallerRequestKind } from '../../platform/standins/sendRequest';
import { createStream } from '../../platform/standins/createStream';
import { createDisturbanceRecord } from './createDisturbanceRecord';
import { createFatalCallers, FIRST_PART, isFatalRequest } from './createFatalCallers';
import type { FatalKind, SoakRecords } from './createFatalCallers';
import { createLimitRecord } from './createLimitRecord';
import { startLimits } from './startLimits';
import { startPartitions } from './startPartitions';
import { SOAK_FAULTS } from './soakFaults';
import type { SoakSite } from './soakFaults';
import { createSoakLedger } from './soakLedger';
import { startSoakSite } from './startSoakSite';

export interface FaultSoakOptions {
  readonly seed: number;
  /** Number of faults to start, one after the other. */
  readonly faults: number;
  /** Path of the bundled daemon. */
  readonly program: string;
  /** Daemon of another version, which runs beside it. */
  readonly otherProgram?: string | undefined;
  /** Kinds of requests of which some end each server that runs them. */
  readonly fatalKinds?: readonly FatalKind[];
  /** Whether servers announce limits of requests. */
  readonly hasLimits?: boolean;
  /** Whether VMs are partitioned from all servers. */
  readonly hasPartitions?: boolean;
}

export interface FaultSoakRun {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly sent: number;
  readonly served: number;
  readonly findings: readonly string[];
  /** Log lines of the daemons; empty for a run without findings. */
  readonly log: readonly string[];
}

const MEAN_REQUEST_GAP_MS = 12;
const MEAN_FAULT_GAP_MS = 500;
const MEAN_FAULT_MS = 1_200;

/** Limit for the system to serve every kind of request while no fault is active. */
const MAX_RECOVERY_MS = 30_000;

/** Parts of which each prompt holds one. */
const SOUND_PARTS = 8;

/** Keep the seeds of what else happens apart from those of faults and sound requests. */
const FATAL_SEED_OFFSET = 1_000_000;
const LIMIT_SEED_OFFSET = 2_000_000;
const PARTITION_SEED_OFFSET = 3_000_000;

const noop = (): Promise<void> => Promise.resolve();

const REQUEST_KINDS: readonly CallerRequestKind[] = ['stream', 'stream', 'once', 'lookup'];

/** Runs the faults and the requests that the seed determines. */
export async function runFaultSoak(options: FaultSoakOptions): Promise<FaultSoakRun> {
  const { seed, fatalKinds = [], hasLimits = false, hasPartitions = false } = options;
  const random = createRandom(seed);
  const ledger = createSoakLedger({
    layers: LAYERS,
    limits: ROUTE_LIMITS,
    streamBody: (requestId) => createStream(requestId).events.join(''),
  });
  const disturbances = createDisturbanceRecord();
  const fatalCallers = fatalKinds.map((kind, index) =>
    createFatalCallers(kind, { ledger, disturbances, seed: seed + FATAL_SEED_OFFSET + index }),
  );
  const limitRecord = createLimitRecord();
  const folder = mkdtempSync(join(tmpdir(), 'fault-soak-'));
  const site = await startSoakSite({
    folder,
    program: options.program,
    otherProgram: options.otherProgram,
    hasLinks: hasPartitions,
    serverHooks: {
      onReceived: (server) => {
        limitRecord.recordReceived(server, performance.now());
      },
      isFatal: isFatalRequest,
      onRun: (requestId, server, stages, links) => {
        ledger.recordRun(requestId, server, stages);
        disturbances.recordRun(requestId, links);
        for (const { recordRun } of fatalCallers) recordRun(requestId);
      },
      onRunEnded: ledger.recordRunEnd,
      onStages: ledger.recordStages,
      onConnectionsLost: ledger.recordLostConnections,
    },
  });
  const caller = createCaller(site, { ledger, disturbances, seed });
  const findings: string[] = [];
  if (!(await caller.waitUntilServing(MAX_RECOVERY_MS)))
    findings.push('nothing was served before the faults');
  const faults: string[] = [];
  const reverts: Promise<void>[] = [];
  const traffic = caller.start(random.integer(1_000_000));
  const stopLimits = hasLimits ? startLimits(site, limitRecord, seed + LIMIT_SEED_OFFSET) : noop;
  const stopPartitions = hasPartitions ? startPartitions(site, seed + PARTITION_SEED_OFFSET) : noop;
  const fatalTraffic = fatalCallers.map(({ start }) => start(site));
  for (let count = 0; count < options.faults; count += 1) {
    const name = random.pick(Object.keys(SOAK_FAULTS));
    const revertFault = SOAK_FAULTS[name]?.(site, random);
    faults.push(name);
    reverts.push(sleep(Math.min(4_000, random.exponential(MEAN_FAULT_MS))).then(revertFault));
    await sleep(random.exponential(MEAN_FAULT_GAP_MS));
  }
  await Promise.all(reverts);
  await Promise.all([stopLimits(), stopPartitions()]);
  await Promise.all([traffic, ...fatalTraffic].map(({ stop }) => stop()));
  if (!(await caller.waitUntilServing(MAX_RECOVERY_MS)))
    findings.push('nothing was served after the faults');
  await sleep(DEADLINE_MS);
  findings.push(...limitRecord.findings());
  findings.push(...ledger.findings(), ...fatalCallers.flatMap((callers) => callers.findings()));
  findings.push(...site.gateways.flatMap((gateway) => gateway.unexpectedExits()));
  for (const part of [...site.gateways, ...site.engines, site.store]) part.close();
  rmSync(folder, { recursive: true });
  const log = findings.length === 0 ? [] : site.gateways.flatMap((gateway) => gateway.log());
  return {
    seed,
    faults,
    sent: caller.sent(),
    served: ledger.served(),
    findings,
    log,
  };
}

interface SoakCaller {
  /** Sends requests until one of each kind has a complete answer or the time is up. Resolves to false on timeout. */
  readonly waitUntilServing: (withinMs: number) => Promise<boolean>;
  /** Sends requests continuously until it is stopped. */
  readonly start: (seed: number) => { readonly stop: () => Promise<void> };
  readonly sent: () => number;
}

function createCaller({ gateways }: SoakSite, records: SoakRecords): SoakCaller {
  const { ledger, disturbances, seed } = records;
  const random = createRandom(seed + 1);
  let sent = 0;
  const send = async (kind: CallerRequestKind): Promise<boolean> => {
    sent += 1;
    const id = `${kind}-${sent}`;
    const first = random.integer(gateways.length);
    const orderedGateways = [...gateways.slice(first), ...gateways.slice(0, first)];
    ledger.recordSending(id, kind);
    const exchange = await sendRequest({
      id,
      kind,
      sharedParts: [FIRST_PART, `c${sent % SOUND_PARTS}`],
      directories: orderedGateways.map(({ directory }) => directory),
      pick: random.pick,
    });
    if (exchange === undefined) return false;
    const { address, sentMs, endedMs, outcome } = exchange;
    ledger.recordOutcome(id, outcome, {
      wasGatewayDisturbed: disturbances.wasDisturbed(id, { gateways, address, sentMs, endedMs }),
      elapsedMs: endedMs - sentMs,
    });
    return outcome.type === 'whole';
  };
  const waitUntilServing = async (withinMs: number): Promise<boolean> => {
    const deadlineMs = performance.now() + withinMs;
    const unservedKinds = new Set<CallerRequestKind>(REQUEST_KINDS);
    while (unservedKinds.size > 0 && performance.now() < deadlineMs) {
      for (const kind of [...unservedKinds]) if (await send(kind)) unservedKinds.delete(kind);
      await sleep(MEAN_REQUEST_GAP_MS);
    }
    return unservedKinds.size === 0;
  };
  return {
    waitUntilServing,
    start: (trafficSeed) => {
      const pauses = createRandom(trafficSeed);
      const pending = new Set<Promise<unknown>>();
      let isStopped = false;
      const loop = async (): Promise<void> => {
        while (!isStopped) {
          const request: Promise<unknown> = send(pauses.pick(REQUEST_KINDS)).finally(() =>
            pending.delete(request),
          );
          pending.add(request);
          await sleep(pauses.exponential(MEAN_REQUEST_GAP_MS));
        }
      };
      const running = loop();
      return {
        stop: async () => {
          isStopped = true;
          await running;
          await Promise.all(pending);
        },
      };
    },
    sent: () => sent,
  };
}
