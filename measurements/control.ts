/**
 * What control costs a VM: bytes, processor time and memory of the fleet side, and how each grows with
 * the VMs, the engines and the workspaces. Datagrams are encoded, sealed, opened and decoded as in the
 * daemon. Reads of the table and probes of backend servers are counted and priced at fixed sizes.
 */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { BYTES_PER_MIB, MS_PER_SECOND } from '../src/units';
import { describeSite } from './describeSite';
import type { Measurement } from './measurement';
import { VirtualFleet } from './virtualFleet';

/** Bytes that one probe of a backend server takes on the wire, both ways, over a kept connection. */
const PROBE_BYTES = 400;

/** Bytes of one read of the store, both ways, beside what it fetches. */
const STORE_CALL_BYTES = 400;

/** Workspaces that are active on one VM at a time, at most. */
const ACTIVE_WORKSPACES = 40;

const REGIONS = 3;
const WARM_UP_MS = 12_000;
const WINDOW_MS = 5000;
const NANOS_PER_MS = 1e6;

interface Size {
  readonly nodes: number;
  readonly engines: number;
  readonly workspaces: number;
}

interface Cost {
  readonly sentBytesPerSecond: number;
  readonly receivedBytesPerSecond: number;
  readonly otherBytesPerSecond: number;
  readonly datagramsPerSecond: number;
  readonly largestDatagramBytes: number;
  readonly probesPerSecond: number;
  readonly storeReadsPerSecondOfFleet: number;
  readonly cpuFraction: number;
  readonly heapMegabytes: number;
}

/** Reports the cost a node, and its slopes from runs with each of the sizes halved. */
export const control: Measurement = ({ seed, nodes, engines, workspaces }, print) => {
  const size = { nodes, engines, workspaces };
  // A small run first, so that compiled code and caches count in none of the others.
  measureCost(seed, { nodes: 4, engines: 8, workspaces: 8 });
  const whole = measureCost(seed, size);
  print(JSON.stringify({ ...size, ...whole }));
  const slopes = Object.fromEntries(
    (['nodes', 'engines', 'workspaces'] as const).map((name) => {
      const halved = { ...size, [name]: Math.max(1, Math.floor(size[name] / 2)) };
      const cost = measureCost(seed, halved);
      print(JSON.stringify({ ...halved, ...cost }));
      return [name, slopeOf(whole, cost, size[name] - halved[name])];
    }),
  );
  return Promise.resolve({
    seed,
    ...size,
    bytesPerSecondPerNode: Math.round(whole.sentBytesPerSecond + whole.otherBytesPerSecond),
    bytesBothWaysPerSecondPerNode: Math.round(
      whole.sentBytesPerSecond + whole.receivedBytesPerSecond + whole.otherBytesPerSecond,
    ),
    cpuFraction: whole.cpuFraction,
    heapMegabytes: whole.heapMegabytes,
    slopes,
  });
};

function slopeOf(whole: Cost, halved: Cost, by: number): Readonly<Record<string, number>> {
  const per = (name: keyof Cost): number => (whole[name] - halved[name]) / by;
  return {
    sentBytesPerSecond: round(per('sentBytesPerSecond')),
    cpuFraction: round(per('cpuFraction')),
    heapKilobytes: round(per('heapMegabytes') * 1024),
  };
}

function round(value: number): number {
  return Number(value.toPrecision(3));
}

function measureCost(seed: number, size: Size): Cost {
  const regions = size.nodes > REGIONS * 3 ? REGIONS : 1;
  const network = new VirtualFleet({ seed, nodes: size.nodes, regions, isMetered: true });
  const before = heapBytes();
  const configuration = describeSite({ ...size, regions });
  const configurationBytes = heapBytes() - before;
  for (const engine of configuration.engine.keys()) {
    network.servers.set(engine, { isUp: true, state: 'live', incarnation: 'a', isEngine: true });
  }
  network.preload(configuration);
  network.startAll();
  const useEverySecond = (): void => {
    shareUses(network, size.workspaces);
    network.schedule(MS_PER_SECOND, useEverySecond);
  };
  network.schedule(MS_PER_SECOND, useEverySecond);
  network.run(WARM_UP_MS);
  for (const virtual of network.vms) {
    virtual.sentBytes = 0;
    virtual.receivedBytes = 0;
    virtual.messageBytes = 0;
    virtual.sentDatagrams = 0;
    virtual.storeCalls = 0;
    virtual.probes = 0;
    virtual.cpuNanos = 0n;
  }
  network.run(WINDOW_MS);
  const seconds = WINDOW_MS / MS_PER_SECOND;
  const mean = (pick: (virtual: (typeof network.vms)[number]) => number): number =>
    network.vms.reduce((sum, virtual) => sum + pick(virtual), 0) / size.nodes;
  const fleetBytes = (heapBytes() - before - configurationBytes) / size.nodes;
  const probes = mean((virtual) => virtual.probes) / seconds;
  const storeCalls = mean((virtual) => virtual.storeCalls) / seconds;
  const messages = mean((virtual) => virtual.messageBytes) / seconds;
  return {
    sentBytesPerSecond: Math.round(mean((virtual) => virtual.sentBytes) / seconds),
    receivedBytesPerSecond: Math.round(mean((virtual) => virtual.receivedBytes) / seconds),
    otherBytesPerSecond: Math.round(
      messages + probes * PROBE_BYTES + storeCalls * STORE_CALL_BYTES,
    ),
    datagramsPerSecond: round(mean((virtual) => virtual.sentDatagrams) / seconds),
    largestDatagramBytes: Math.max(...network.vms.map((virtual) => virtual.largestBytes)),
    probesPerSecond: round(probes),
    storeReadsPerSecondOfFleet: round(storeCalls * size.nodes),
    cpuFraction: round(mean((virtual) => Number(virtual.cpuNanos)) / NANOS_PER_MS / WINDOW_MS),
    heapMegabytes: round((fleetBytes + configurationBytes) / BYTES_PER_MIB),
  };
}

/** Each VM tells of the use of some workspaces drawn at random. */
function shareUses(network: VirtualFleet, workspaces: number): void {
  const active = Math.min(ACTIVE_WORKSPACES, workspaces);
  for (const virtual of network.vms) {
    const names = new Set<string>();
    while (names.size < active) names.add(`w${network.random.integer(workspaces)}`);
    const uses = [...names].map((workspace) => ({
      workspace,
      tokensPerSecond: network.random.integer(1000),
      requestsPerSecond: 1,
      running: 2,
      ageMs: 0,
    }));
    network.deliver(virtual, { type: 'use-shared', usage: uses });
  }
}

function heapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}
