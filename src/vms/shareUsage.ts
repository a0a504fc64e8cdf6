/**
 * Sums the use of each workspace over all VMs without a central counter: for each workspace one VM,
 * chosen by rendezvous hashing, adds up what the others report and tells each the sum of the rest.
 */

import { Map as ImmutableMap } from 'immutable';
import { hash32 } from '../hashing/hash32';
import type { WorkspaceUse } from '../requests/routerMessage';
import type { WorkspaceId } from '../workspaces/workspace';
import { chain } from './chain';
import type { Fleet, FleetDecision, ReportedUsage, Sharing } from './fleet';
import {
  USAGE_TTL_MS,
  MAX_SUMMED_USAGE_ENTRIES,
  MAX_USAGE_DATAGRAMS_PER_PERIOD,
  MAX_USAGE_ENTRIES_PER_DATAGRAM,
  MAX_USAGE_ENTRIES_PER_PERIOD,
  USAGE_REPORT_PERIOD_MS,
} from './fleetConstants';
import type { UseTuple } from './gossip';
import { mixHashes } from './mixHashes';
import { sendGossip } from './sendGossip';
import type { Address, VmId } from './vm';

function withSharing(fleet: Fleet, changes: Partial<Sharing>): Fleet {
  return { ...fleet, sharing: { ...fleet.sharing, ...changes } };
}

/** Keeps this VM's own use until the next report; the largest workspaces where there are too many. */
export function handleUsageShared(fleet: Fleet, uses: readonly WorkspaceUse[]): FleetDecision {
  const largest = [...uses]
    .sort((one, other) => other.tokensPerSecond - one.tokensPerSecond)
    .slice(0, MAX_USAGE_ENTRIES_PER_PERIOD);
  const ownUses = ImmutableMap(largest.map((use) => [use.workspace, use] as const));
  return { state: withSharing(fleet, { ownUsage: ownUses }), effects: [] };
}

/**
 * Reports the own use to the VMs that sum it, where that is due: to some of them in each period, in
 * turn, so that the cost does not grow with the workspaces.
 */
export function reportUsage(fleet: Fleet, atMs: number): FleetDecision {
  const { nextUsageReportAtMs: nextUseAtMs, ownUsage: ownUses } = fleet.sharing;
  if (atMs < nextUseAtMs) return { state: fleet, effects: [] };
  const due = Math.max(nextUseAtMs, atMs - USAGE_REPORT_PERIOD_MS) + USAGE_REPORT_PERIOD_MS;
  const state = withSharing(fleet, { nextUsageReportAtMs: due, reported: forgetUses(fleet, atMs) });
  if (ownUses.isEmpty()) return { state, effects: [] };
  const groups = [...ownUses.toList().groupBy((use) => chooseSummer(fleet, use.workspace))].sort(
    ([one], [other]) => (one < other ? -1 : 1),
  );
  const from = fleet.sharing.nextUsageGroup % groups.length;
  const inTurn = [...groups.slice(from), ...groups.slice(0, from)].slice(
    0,
    MAX_USAGE_DATAGRAMS_PER_PERIOD,
  );
  return chain(
    withSharing(state, { nextUsageGroup: from + MAX_USAGE_DATAGRAMS_PER_PERIOD }),
    ...inTurn.map(([summer, uses]) => (next: Fleet) => {
      if (summer !== fleet.vm.id) return sendUses(next, summer, uses.toArray(), atMs);
      return sumOwnUses(next, uses.toArray(), atMs);
    }),
  );
}

/** Takes in another VM's report and answers with the sums of the rest. */
export function handleUsageReport(
  fleet: Fleet,
  uses: readonly UseTuple[],
  from: VmId,
  reply: { readonly to: Address; readonly nonce: number },
  atMs: number,
): FleetDecision {
  let reported = fleet.sharing.reported;
  for (const tuple of uses) reported = addUse(reported, decodeUse(tuple), from, atMs);
  const state = withSharing(fleet, { reported });
  const sums = uses.map(([workspace]) => sumOthers(reported, workspace, from, atMs));
  const answer = { kind: 'sums', to: reply.to, toId: from, nonce: reply.nonce } as const;
  return sendGossip(state, { ...answer, usage: sums.map(encodeUse) }, atMs);
}

/** Passes sums on to the router. */
export function forwardUsageSums(fleet: Fleet, sums: readonly UseTuple[]): FleetDecision {
  if (sums.length === 0) return { state: fleet, effects: [] };
  return tellUses(fleet, sums.map(decodeUse));
}

function tellUses(fleet: Fleet, uses: readonly WorkspaceUse[]): FleetDecision {
  const { acceptingVms } = fleet.membership;
  return { state: fleet, effects: [{ type: 'use-learned', usage: uses, acceptingVms }] };
}

type Reported = Sharing['reported'];

function addUse(reported: Reported, use: WorkspaceUse, from: VmId, atMs: number): Reported {
  const before = reported.get(use.workspace) ?? ImmutableMap<string, ReportedUsage>();
  if (reported.size >= MAX_SUMMED_USAGE_ENTRIES && before.isEmpty()) return reported;
  return reported.set(use.workspace, before.set(from, { use, atMs: atMs - use.ageMs }));
}

function sumOthers(
  reported: Reported,
  workspace: WorkspaceId,
  except: VmId,
  atMs: number,
): WorkspaceUse {
  const sum = { workspace, tokensPerSecond: 0, requestsPerSecond: 0, running: 0, ageMs: 0 };
  for (const [vm, { use, atMs: reportedAtMs }] of reported.get(workspace) ?? []) {
    const ageMs = atMs - reportedAtMs;
    if (vm === except || ageMs > USAGE_TTL_MS) continue;
    sum.tokensPerSecond += use.tokensPerSecond;
    sum.requestsPerSecond += use.requestsPerSecond;
    sum.running += use.running;
    sum.ageMs = Math.max(sum.ageMs, ageMs);
  }
  return sum;
}

function sumOwnUses(fleet: Fleet, uses: readonly WorkspaceUse[], atMs: number): FleetDecision {
  let reported = fleet.sharing.reported;
  for (const use of uses) reported = addUse(reported, use, fleet.vm.id, atMs);
  const sums = uses.map((use) => sumOthers(reported, use.workspace, fleet.vm.id, atMs));
  return tellUses(withSharing(fleet, { reported }), sums);
}

function sendUses(
  fleet: Fleet,
  summer: VmId,
  uses: readonly WorkspaceUse[],
  atMs: number,
): FleetDecision {
  const member = fleet.membership.members.get(summer);
  if (member === undefined) return { state: fleet, effects: [] };
  const tuples = uses.slice(0, MAX_USAGE_ENTRIES_PER_DATAGRAM).map(encodeUse);
  const to = member.vm.addresses.gossip;
  return sendGossip(fleet, { kind: 'use', to, toId: summer, nonce: 0, usage: tuples }, atMs);
}

function forgetUses(fleet: Fleet, atMs: number): Reported {
  const isFresh = (reported: ReportedUsage): boolean => atMs - reported.atMs <= USAGE_TTL_MS;
  return fleet.sharing.reported
    .map((byVm) => byVm.filter(isFresh))
    .filter((byVm) => !byVm.isEmpty());
}

function chooseSummer(fleet: Fleet, workspace: WorkspaceId): VmId {
  const own = hash32(workspace);
  let best = fleet.vm.id;
  let bestScore = -1;
  for (const { id, hash } of fleet.membership.hashes) {
    const score = mixHashes(own, hash);
    if (score > bestScore) {
      best = id;
      bestScore = score;
    }
  }
  return best;
}

function encodeUse(use: WorkspaceUse): UseTuple {
  const { workspace, tokensPerSecond, requestsPerSecond, running, ageMs } = use;
  const rounded = Math.round(tokensPerSecond);
  return [workspace, rounded, Math.round(requestsPerSecond * 10) / 10, running, Math.round(ageMs)];
}

function decodeUse(tuple: UseTuple): WorkspaceUse {
  const [workspace, tokensPerSecond, requestsPerSecond, running, ageMs] = tuple;
  return { workspace, tokensPerSecond, requestsPerSecond, running, ageMs };
}
