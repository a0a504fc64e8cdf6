/**
 * Time from a commit until every running VM has the revision in force, and until every one of them says
 * that it is accepted: under loss, with VMs that crash, start and are paused, and in store outages.
 */

import type { Change } from '../src/configuration/configuration';
import type { Measurement } from './measurement';
import { createHistogram, percentile } from './percentile';
import { VirtualFleet } from './virtualFleet';
import type { VirtualVm } from './virtualVm';

const LOSS_RATE = 0.01;
const LARGE_FLEET = 100;
const WARM_UP_MS = 15_000;
const COMMITS = 12;
const BETWEEN_MS = 4000;
const SETTLE_MS = 20_000;
const OUTAGE_EVERY = 5;

/** Reports the delays, milliseconds, and the VMs that ever went back to a lower revision. */
export const configuration: Measurement = ({ seed, nodes, workspaces }, print) => {
  const regions = nodes >= LARGE_FLEET ? 3 : 1;
  const network = new VirtualFleet({ seed, nodes, regions, lossRate: LOSS_RATE });
  const committedAtMs = new Map<number, number>();
  const highest = new Map<string, number>();
  const inForce: number[] = [];
  const accepted: number[] = [];
  let reverts = 0;
  let early = 0;
  network.onEffect = (virtual, effect) => {
    if (effect.type === 'configuration-applied') {
      const { revision } = effect.configuration;
      const life = `${virtual.vm.id} ${virtual.vm.incarnation}`;
      const before = highest.get(life) ?? 0;
      if (revision <= before) reverts += 1;
      highest.set(life, Math.max(before, revision));
      for (let number = before + 1; number <= revision; number += 1) {
        note(inForce, committedAtMs.get(number), network.nowMs, isSteady(virtual));
      }
    }
    if (effect.type === 'configuration-accepted') {
      note(accepted, committedAtMs.get(effect.revision), network.nowMs, true);
      if (isServedLower(network, effect.revision)) early += 1;
    }
  };

  network.commit(Array.from({ length: workspaces }, (_, index) => workspaceOf(index, 1)));
  network.startAll();
  network.run(WARM_UP_MS);
  highest.clear();
  for (const { vm, fleet } of network.vms) {
    highest.set(`${vm.id} ${vm.incarnation}`, fleet.configuration.applied.revision);
  }
  for (let commit = 0; commit < COMMITS; commit += 1) {
    const running = network.vms.filter(
      ({ isUp, pausedUntilMs }) => isUp && pausedUntilMs <= network.nowMs,
    );
    const by = network.random.pick(running);
    const number = network.commit([workspaceOf(commit % workspaces, commit + 2)], by);
    committedAtMs.set(number, network.nowMs);
    if (commit % OUTAGE_EVERY === OUTAGE_EVERY - 1) {
      network.schedule(100, () => {
        network.isStoreUp = false;
      });
    }
    network.run(BETWEEN_MS);
    network.isStoreUp = true;
    disturb(network, commit);
  }
  network.run(SETTLE_MS);
  const last = Math.max(...committedAtMs.keys());
  const behind = network.vms.filter(
    ({ fleet, isUp }) => isUp && fleet.configuration.applied.revision < last,
  ).length;
  const inForceHistogram = createHistogram(inForce);
  const acceptedHistogram = createHistogram(accepted);
  print(`${COMMITS} commits, ${inForce.length} applications, ${accepted.length} acceptances`);
  return Promise.resolve({
    seed,
    nodes,
    workspaces,
    lossRate: LOSS_RATE,
    inForceP50Ms: percentile(inForceHistogram, 50),
    inForceP99Ms: percentile(inForceHistogram, 99),
    inForceMaxMs: percentile(inForceHistogram, 100),
    acceptedP50Ms: percentile(acceptedHistogram, 50),
    acceptedP99Ms: percentile(acceptedHistogram, 99),
    reverts,
    acceptedTooEarly: early,
    behindAtEnd: behind,
  });
};

/** Between commits one VM is replaced, or one is paused for a while. */
function disturb(network: VirtualFleet, commit: number): void {
  const victim = network.random.pick(network.vms);
  if (commit % 2 === 0) {
    network.kill(victim);
    network.start(network.add(victim.index, commit + 2));
  } else if (commit % 4 === 1) {
    network.pause(victim, BETWEEN_MS);
  }
}

/** A VM that is paused or has just started is told from those that run all along. */
function isSteady(virtual: VirtualVm): boolean {
  return virtual.fleet.availability.isAccepting;
}

function note(
  delays: number[],
  committedAtMs: number | undefined,
  nowMs: number,
  isCounted: boolean,
): void {
  if (committedAtMs !== undefined && isCounted) delays.push(nowMs - committedAtMs);
}

/** Whether a VM that takes new work, and is not paused, has a lower revision in force. */
function isServedLower(network: VirtualFleet, revision: number): boolean {
  return network.vms.some(
    ({ fleet, isUp, pausedUntilMs }) =>
      isUp &&
      pausedUntilMs < network.nowMs &&
      fleet.availability.isAccepting &&
      fleet.configuration.applied.revision < revision,
  );
}

function workspaceOf(index: number, share: number): Change {
  const id = `w${index}`;
  const limits = { requestsPerSecond: 10, tokensPerSecond: 1000, concurrentRequests: 5 };
  return {
    type: 'put',
    kind: 'workspace',
    key: id,
    value: { id, share, limits, tokenHashes: ['0'.repeat(64)] },
  };
}
