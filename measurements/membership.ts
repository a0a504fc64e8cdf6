/**
 * Detection of failed VMs under loss: single crashes, a third of all VMs at once, one-way loss between
 * pairs, and, with several regions, regions that lose each other.
 */

import type { Measurement } from './measurement';
import { createHistogram, percentile } from './percentile';
import { VirtualFleet } from './virtualFleet';
import type { VirtualVm } from './virtualVm';

/** Share of datagrams lost throughout. */
const LOSS_RATE = 0.01;

/** From so many VMs on the fleet has 3 regions with 9 failure domains. */
const LARGE_FLEET = 100;

const WARM_UP_MS = 15_000;
const WINDOW_MS = 8000;
const CRASHES = 8;
const QUIET_MS = 30_000;
const CUT_MS = 60_000;

interface Account {
  readonly delays: number[];
  undetected: number;
  falseEvictions: number;
}

/** Reports detection delays, milliseconds, over all pairs of failed VM and observer. */
export const membership: Measurement = ({ seed, nodes }, print) => {
  const regions = nodes >= LARGE_FLEET ? 3 : 1;
  const network = new VirtualFleet({ seed, nodes, regions, lossRate: LOSS_RATE });
  const account: Account = { delays: [], undetected: 0, falseEvictions: 0 };
  const killedAtMs = new Map<string, number>();
  const seen = new Map<string, Set<number>>();
  let isCut = false;
  network.onEffect = (observer, effect) => {
    if (effect.type !== 'log' || effect.message !== 'VM dead') return;
    const id = String(effect.fields.vm);
    const killed = killedAtMs.get(id);
    if (killed === undefined) {
      const isThisLife = network.find(id)?.vm.incarnation === effect.fields.incarnation;
      if (!isCut && isThisLife) account.falseEvictions += 1;
      return;
    }
    const observers = seen.get(id) ?? new Set();
    if (!observers.has(observer.index)) account.delays.push(network.nowMs - killed);
    seen.set(id, observers.add(observer.index));
  };

  const fail = (victims: readonly VirtualVm[]): void => {
    for (const victim of victims) {
      network.kill(victim);
      killedAtMs.set(victim.vm.id, network.nowMs);
      seen.set(victim.vm.id, new Set());
    }
    network.run(WINDOW_MS);
    const observers = network.vms.filter(({ isUp }) => isUp).length;
    for (const victim of victims) {
      account.undetected += observers - (seen.get(victim.vm.id)?.size ?? 0);
    }
  };
  const replace = (victims: readonly VirtualVm[], life: number): void => {
    for (const victim of victims) {
      killedAtMs.delete(victim.vm.id);
      network.start(network.add(victim.index, life));
    }
    network.run(WINDOW_MS / 2);
  };

  network.startAll();
  network.run(WARM_UP_MS);
  print(`all known after warm-up: ${countViews(network, nodes - 1)} of ${nodes} VMs`);
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const victim = network.random.pick(network.vms);
    fail([victim]);
    replace([victim], 2 + crash);
  }
  print(`single crashes: ${summary(account)}`);
  const third = network.vms.filter((_, index) => index % 3 === 1);
  fail(third);
  replace(third, 100);
  print(`a third at once: ${summary(account)}`);
  network.isCut = (from, to) => (from.index * 7 + to.index) % 10 === 0;
  network.run(QUIET_MS);
  network.isCut = () => false;
  print(`one-way loss of every tenth pair for ${QUIET_MS} ms: ${summary(account)}`);
  let rejoinMs = 0;
  if (regions > 1) {
    isCut = true;
    network.isCut = (from, to) => from.vm.region !== to.vm.region;
    network.run(CUT_MS);
    network.isCut = () => false;
    while (countViews(network, nodes - 1) < nodes && rejoinMs < CUT_MS) {
      network.run(500);
      rejoinMs += 500;
    }
    print(`regions apart for ${CUT_MS} ms: all views whole again after ${rejoinMs} ms`);
  }
  const histogram = createHistogram(account.delays);
  return Promise.resolve({
    seed,
    nodes,
    lossRate: LOSS_RATE,
    detectP50Ms: percentile(histogram, 50),
    detectP99Ms: percentile(histogram, 99),
    detectMaxMs: percentile(histogram, 100),
    undetected: account.undetected,
    falseEvictions: account.falseEvictions,
    ...(regions > 1 ? { rejoinMs } : {}),
  });
};

/** VMs that count as many others as alive as there are. */
function countViews(network: VirtualFleet, others: number): number {
  return network.vms.filter(
    ({ fleet }) => fleet.membership.members.count(({ status }) => status === 'alive') === others,
  ).length;
}

function summary(account: Account): string {
  const histogram = createHistogram(account.delays);
  const p99 = percentile(histogram, 99);
  return `detections ${account.delays.length}, p99 ${p99} ms, undetected ${account.undetected}, false ${account.falseEvictions}`;
}
