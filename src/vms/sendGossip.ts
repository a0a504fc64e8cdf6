/**
 * Composes one datagram within its size limit. The sender's entry, digests and usage are always included.
 * The remaining bytes go to full records, then to entries of members (first the receiver's if it has to
 * refute a suspicion, then changed members, then some unchanged ones, which make up for lost changes),
 * and last to suspect contents.
 */

import { createOwnEntry } from './createOwnEntry';
import { encodeEntry } from './encodeEntry';
import { encodeRecord } from './encodeRecord';
import type { Fleet, FleetDecision } from './fleet';
import {
  DATAGRAM_BUDGET_BYTES,
  DIGEST_BYTES,
  INTRODUCTION_MS,
  MAX_ENTRIES_PER_DATAGRAM,
  MAX_RECORDS_PER_DATAGRAM,
  REFRESHED_ENTRIES,
} from './fleetConstants';
import { GOSSIP_VERSION } from './gossip';
import type { DigestTuple, EntryTuple, GossipKind, RecordTuple, UsageTuple } from './gossip';
import type { Rumor } from './membership';
import { packSuspects } from './packSuspects';
import type { Address, VmId } from './vm';
import { withMembership } from './withMembership';

export interface Datagram {
  readonly kind: GossipKind;
  readonly to: Address;
  /** The receiver, if it is known. */
  readonly toId?: VmId;
  readonly nonce: number;
  /** The VM to probe; only for `ask` and `told`. */
  readonly target?: VmId;
  readonly digests?: readonly DigestTuple[];
  readonly usage?: readonly UsageTuple[];
}

/** Size of a member's entry without its id, bytes. */
const ENTRY_BYTES = 24;

/** Size of a full record without its texts, bytes. */
const RECORD_BYTES = 40;

/** Size of a usage entry without the workspace's id, bytes. */
const USAGE_BYTES = 34;

/** Size of the sender's entry and the fixed fields, bytes. */
const FIXED_BYTES = 90;

/**
 * Sends one datagram and decrements the remaining sends of the changes that it contains.
 *
 * @param fleet the state
 * @param datagram kind, receiver and contents other than gossiped changes
 * @param atMs now
 */
export function sendGossip(fleet: Fleet, datagram: Datagram, atMs: number): FleetDecision {
  const digests = datagram.digests ?? [];
  const usage = datagram.usage ?? [];
  const payloadBytes = sumBytes(digests, DIGEST_BYTES) + sumBytes(usage, USAGE_BYTES);
  const budget = DATAGRAM_BUDGET_BYTES - FIXED_BYTES - payloadBytes;
  const records = packRecords(fleet, datagram, atMs, budget);
  const rest = budget - records.bytes;
  const entries = packEntries(records.fleet, datagram, rest);
  const suspects = packSuspects(entries.fleet, atMs, rest - entries.bytes);
  const body = {
    v: GOSSIP_VERSION,
    k: datagram.kind,
    n: datagram.nonce,
    e: encodeEntry(createOwnEntry(fleet)),
    h: fleet.configuration.head,
    ...(datagram.target === undefined ? {} : { t: datagram.target }),
    ...(entries.tuples.length === 0 ? {} : { m: entries.tuples }),
    ...(records.tuples.length === 0 ? {} : { f: records.tuples }),
    ...(digests.length === 0 ? {} : { s: digests }),
    ...(suspects.tuples.length === 0 ? {} : { x: suspects.tuples }),
    ...(usage.length === 0 ? {} : { u: usage }),
  };
  return { state: suspects.fleet, effects: [{ type: 'send-datagram', to: datagram.to, body }] };
}

interface Packed<Tuple> {
  readonly fleet: Fleet;
  readonly tuples: readonly Tuple[];
  readonly bytes: number;
}

function sumBytes(tuples: readonly (readonly [string, ...unknown[]])[], each: number): number {
  return tuples.reduce((bytes, tuple) => bytes + each + tuple[0].length, 0);
}

function packRecords(
  fleet: Fleet,
  datagram: Datagram,
  atMs: number,
  budget: number,
): Packed<RecordTuple> {
  const { introductions, members } = fleet.membership;
  const isNew = atMs - fleet.startedAtMs < INTRODUCTION_MS || datagram.toId === undefined;
  const tuples: RecordTuple[] = isNew ? [encodeRecord(fleet.vm)] : [];
  const selected = introductions.slice(0, MAX_RECORDS_PER_DATAGRAM);
  for (const { id } of selected) {
    const member = members.get(id);
    if (member !== undefined && member.vm.incarnation > 0) tuples.push(encodeRecord(member.vm));
  }
  const bytes = tuples.reduce((total, tuple) => total + RECORD_BYTES + tuple.join('').length, 0);
  if (bytes > budget) return { fleet, tuples: [], bytes: 0 };
  if (selected.length === 0) return { fleet, tuples, bytes };
  const next = withMembership(fleet, {
    introductions: requeueRumors(introductions, selected.length),
  });
  return { fleet: next, tuples, bytes };
}

function packEntries(fleet: Fleet, datagram: Datagram, budget: number): Packed<EntryTuple> {
  const { members, rumors } = fleet.membership;
  const tuples: EntryTuple[] = [];
  let bytes = 0;
  const add = (id: VmId | undefined): boolean => {
    const member = id === undefined ? undefined : members.get(id);
    if (member === undefined) return true;
    const size = ENTRY_BYTES + member.id.length;
    if (bytes + size > budget || tuples.length >= MAX_ENTRIES_PER_DATAGRAM) return false;
    bytes += size;
    tuples.push(encodeEntry(member));
    return true;
  };
  const receiver = datagram.toId === undefined ? undefined : members.get(datagram.toId);
  if (receiver !== undefined && receiver.status !== 'alive') add(receiver.id);
  let sent = 0;
  for (const rumor of rumors) {
    if (!add(rumor.id)) break;
    sent += 1;
  }
  let next = sent === 0 ? fleet : withMembership(fleet, { rumors: requeueRumors(rumors, sent) });
  if (datagram.kind === 'ping' || datagram.kind === 'ack') next = addRefreshedEntries(next, add);
  return { fleet: next, tuples, bytes };
}

function addRefreshedEntries(fleet: Fleet, add: (id: VmId | undefined) => boolean): Fleet {
  const { roster, rosterCursor } = fleet.membership;
  if (roster.length === 0) return fleet;
  const count = Math.min(REFRESHED_ENTRIES, roster.length);
  for (let step = 0; step < count; step += 1) add(roster[(rosterCursor + step) % roster.length]);
  return withMembership(fleet, { rosterCursor: (rosterCursor + count) % roster.length });
}

/** Decrements the remaining sends of the sent rumors and requeues them; most sends left go first. */
function requeueRumors(rumors: readonly Rumor[], sent: number): readonly Rumor[] {
  const again = rumors
    .slice(0, sent)
    .filter((rumor) => rumor.sendsLeft > 1)
    .map((rumor) => ({ ...rumor, sendsLeft: rumor.sendsLeft - 1 }));
  const rest = rumors.slice(sent);
  if (rest.length === 0) return again;
  return [...rest, ...again].sort((one, other) => other.sendsLeft - one.sendsLeft);
}
