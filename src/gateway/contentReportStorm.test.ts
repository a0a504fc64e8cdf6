/**
 * Replays the load that createReportSchedule answers: engines that are lost together under the requests of all VMs of a
 * large fleet. Time and datagrams are simulated.
 */

import { createListedServer } from '../chains/testEngine';
import type { ListedServer } from '../chains/layerEngine';
import { planHeartbeats } from '../peers/planHeartbeats';
import { createPeerRecord } from '../peers/testPeer';
import { createContentSuspicions } from './createContentSuspicions';

const VMS = 72;
const DOMAINS = 4;
const LOSSES = 192;
const PARTS = 40;
/** Losses of a request, and losses of a part that were seen of different engines. */
const CRASHES = 2 * LOSSES;
const STEP_MS = 20;
const STEPS = 40;
/** After this time, all that is known is due again. */
const REPEAT_MS = 1_000;
const ALL = { passesOn: true };
const MAX_REPORTS = 48;

/** Each VM hears of a crash from each of its two relays. */
const MAX_COPIES = 2;

const lost = ['a', 'b', 'c', 'd'].map((id) => createListedServer(id, { bornMs: 1 }));

const records = Array.from({ length: VMS }, (_, index) =>
  createPeerRecord(`vm-${100 + index}`, { failureDomain: `domain-${index % DOMAINS}` }),
);

function createFleet() {
  let nowMs = 0;
  const vms = records.map((self) => {
    let end: (server: ListedServer) => void = () => undefined;
    const suspicions = createContentSuspicions({
      registry: {
        onEnded: (listener) => {
          end = listener;
        },
        onAnswer: () => undefined,
      },
      now: () => nowMs,
      log: () => undefined,
      count: () => undefined,
    });
    const targets = planHeartbeats(self, records, () => false).map(({ peer }) => peer.vm);
    const isRelay = targets.length > 2;
    return { self, suspicions, targets, passing: { passesOn: isRelay }, endOf: () => end };
  });
  const byName = new Map(vms.map((vm) => [vm.self.vm, vm]));
  let delivered = 0;
  return {
    vms,
    step: () => {
      nowMs += STEP_MS;
      for (const { suspicions, targets, passing } of vms) {
        const reports = suspicions.takeReports(MAX_REPORTS, passing);
        for (const target of reports.length > 0 ? targets : []) {
          const vm = byName.get(target);
          vm?.suspicions.merge(reports, vm.passing);
          delivered += reports.length;
        }
      }
    },
    waitForRepeats: () => {
      nowMs += REPEAT_MS;
    },
    delivered: () => delivered,
  };
}

describe('a large fleet that loses engines under many requests', () => {
  // Each VM announced what it had heard from others, which took the processor time of all VMs.
  it('tells each VM of each content only some times', () => {
    const { vms, step, waitForRepeats, delivered } = createFleet();
    for (let index = 0; index < LOSSES; index += 1) {
      const contents = [`request:${index}`, `part:s:${index % PARTS}`];
      const server = lost[index % lost.length];
      const vm = vms[(index * 7) % VMS];
      if (server !== undefined) vm?.suspicions.recordLoss(server, contents);
    }
    for (const server of lost) for (const { endOf } of vms) endOf()(server);
    for (let count = 0; count < STEPS; count += 1) step();
    expect(delivered()).toBeLessThanOrEqual(MAX_COPIES * CRASHES * VMS);
    waitForRepeats();
    const known = vms.map(({ suspicions }) => suspicions.takeReports(Infinity, ALL).length);
    expect(known).toEqual(vms.map(() => LOSSES + PARTS));
  });
});
