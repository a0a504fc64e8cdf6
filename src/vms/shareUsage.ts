/**
 * Sums the usage of each workspace over all VMs without a central counter. For each workspace, one VM
 * chosen by rendezvous hashing, the aggregator, collects the reports of all VMs and answers each with the
 * sum of the others' usage.
 */

import { Map as ImmutableMap } from 'immutable';
import { hash32 } from '../hashing/hash32';
import type { WorkspaceUsage } from '../requests/routerMessage';
import type { WorkspaceId } from '../workspaces/workspace';
import { chain } from './chain';
import type { Fleet, FleetDecision, ReportedUsage, Sharing } from './fleet';
import {
  MAX_AGGREGATED_WORKSPACES,
  MAX_USAGE_DATAGRAMS_PER_PERIOD,
  MAX_USAGE_ENTRIES_PER_DATAGRAM,
  MAX_USAGE_ENTRIES_PER_PERIOD,
  USAGE_REPORT_PERIOD_MS,
  USAGE_TTL_MS,
} from './fleetConstants';
import type { UsageTuple } from './gossip';
import { mixHashes } from './mixHashes';
import { sendGossip } from './sendGossip';
import type { Address, VmId } from './vm';

function withSharing(fleet: Fleet, changes: Partial<Sharing>): Fleet {
  return { ...fleet, sharing: { ...fleet.sharing, ...changes } };
}

/** Stores this VM's own usage for the next report; if there are too many workspaces, of the largest. */
export function handleUsageShared(fleet: Fleet, usage: readonly WorkspaceUsage[]): FleetDecision {
  const largest = [...usage]
    .sort((one, other) => other.tokensPerSecond - one.tokensPerSecond)
    .slice(0, MAX_USAGE_ENTRIES_PER_PERIOD);
  const ownUsage = ImmutableMap(largest.map((use) => [use.workspace, use] as const));
  return { state: withSharing(fleet, { ownUsage }), effects: [] };
}

/**
 * Reports the own usage to the aggregators when due: in each period to some of them, in rotation, which
 * keeps the cost independent of the number of workspaces.
 */
export function reportUsage(fleet: Fleet, atMs: number): FleetDecision {
  const { nextUsageReportAtMs, ownUsage } = fleet.sharing;
  if (atMs < nextUsageReportAtMs) return { state: fleet, effects: [] };
  const due = Math.max(nextUsageReportAtMs, atMs - USAGE_REPORT_PERIOD_MS) + USAGE_REPORT_PERIOD_MS;
  const state = withSharing(fleet, {
    nextUsageReportAtMs: due,
    reported: dropExpiredUsage(fleet, atMs),
  });
  if (ownUsage.isEmpty()) return { state, effects: [] };
  const groups = [
    ...ownUsage.toList().groupBy((use) => chooseAggregator(fleet, use.workspace)),
  ].sort(([one], [other]) => (one < other ? -1 : 1));
  const from = fleet.sharing.nextUsageGroup % groups.length;
  const inTurn = [...groups.slice(from), ...groups.slice(0, from)].slice(
    0,
    MAX_USAGE_DATAGRAMS_PER_PERIOD,
  );
  return chain(
    withSharing(state, { nextUsageGroup: from + MAX_USAGE_DATAGRAMS_PER_PERIOD }),
    ...inTurn.map(([aggregator, usage]) => (next: Fleet) => {
      if (aggregator !== fleet.vm.id)
        return sendUsageReport(next, aggregator, usage.toArray(), atMs);
      return sumOwnUsage(next, usage.toArray(), atMs);
    }),
  );
}

/** Records another VM's report and answers with the sums of all other VMs. */
export function handleUsageReport(
  fleet: Fleet,
  usage: readonly UsageTuple[],
  from: VmId,
  reply: { readonly to: Address; readonly nonce: number },
  atMs: number,
): FleetDecision {
  let reported = fleet.sharing.reported;
  for (const tuple of usage) reported = addUsage(reported, decodeUsage(tuple), from, atMs);
  const state = withSharing(fleet, { reported });
  const sums = usage.map(([workspace]) => sumOthers(reported, workspace, from, atMs));
  const answer = { kind: 'sums', to: reply.to, toId: from, nonce: reply.nonce } as const;
  return sendGossip(state, { ...answer, usage: sums.map(encodeUsage) }, atMs);
}

/** Forwards sums to the router. */
export function forwardUsageSums(fleet: Fleet, sums: readonly UsageTuple[]): FleetDecision {
  if (sums.length === 0) return { state: fleet, effects: [] };
  return emitUsage(fleet, sums.map(decodeUsage));
}

function emitUsage(fleet: Fleet, usage: readonly WorkspaceUsage[]): FleetDecision {
  const { acceptingVms } = fleet.membership;
  return { state: fleet, effects: [{ type: 'use-learned', usage, acceptingVms }] };
}

type Reported = Sharing['reported'];

function addUsage(reported: Reported, use: WorkspaceUsage, from: VmId, atMs: number): Reported {
  const before = reported.get(use.workspace) ?? ImmutableMap<string, ReportedUsage>();
  if (reported.size >= MAX_AGGREGATED_WORKSPACES && before.isEmpty()) return reported;
  return reported.set(use.workspace, before.set(from, { use, atMs: atMs - use.ageMs }));
}

function sumOthers(
  reported: Reported,
  workspace: WorkspaceId,
  except: VmId,
  atMs: number,
): WorkspaceUsage {
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

function sumOwnUsage(fleet: Fleet, usage: readonly WorkspaceUsage[], atMs: number): FleetDecision {
  let reported = fleet.sharing.reported;
  for (const use of usage) reported = addUsage(reported, use, fleet.vm.id, atMs);
  const sums = usage.map((use) => sumOthers(reported, use.workspace, fleet.vm.id, atMs));
  return emitUsage(withSharing(fleet, { reported }), sums);
}

function sendUsageReport(
  fleet: Fleet,
  aggregator: VmId,
  usage: readonly WorkspaceUsage[],
  atMs: number,
): FleetDecision {
  const member = fleet.membership.members.get(aggregator);
  if (member === undefined) return { state: fleet, effects: [] };
  const tuples = usage.slice(0, MAX_USAGE_ENTRIES_PER_DATAGRAM).map(encodeUsage);
  const to = member.vm.addresses.gossip;
  return sendGossip(fleet, { kind: 'use', to, toId: aggregator, nonce: 0, usage: tuples }, atMs);
}

function dropExpiredUsage(fleet: Fleet, atMs: number): Reported {
  const isFresh = (reported: ReportedUsage): boolean => atMs - reported.atMs <= USAGE_TTL_MS;
  return fleet.sharing.reported
    .map((byVm) => byVm.filter(isFresh))
    .filter((byVm) => !byVm.isEmpty());
}

function chooseAggregator(fleet: Fleet, workspace: WorkspaceId): VmId {
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

function encodeUsage(use: WorkspaceUsage): UsageTuple {
  const { workspace, tokensPerSecond, requestsPerSecond, running, ageMs } = use;
  const rounded = Math.round(tokensPerSecond);
  return [workspace, rounded, Math.round(requestsPerSecond * 10) / 10, running, Math.round(ageMs)];
}

function decodeUsage(tuple: UsageTuple): WorkspaceUsage {
  const [workspace, tokensPerSecond, requestsPerSecond, running, ageMs] = tuple;
  return { workspace, tokensPerSecond, requestsPerSecond, running, ageMs };
}
