/**
 * Composes one datagram within its budget of bytes. What matters most goes first: the sender itself,
 * what the receiver should refute, changes of members, suspect contents, then digests, and last some
 * members that did not change, so that a lost change is made good in time.
 */

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
import type { DigestTuple, EntryTuple, GossipKind, RecordTuple, UseTuple } from './gossip';
import type { Rumor } from './membership';
import { createOwnEntry } from './createOwnEntry';
import { packSuspects } from './packSuspects';
import type { Address, VmId } from './vm';
import { withMembership } from './withMembership';

export interface Datagram {
  readonly kind: GossipKind;
  readonly to: Address;
  /** The receiver, where it is known. */
  readonly toId?: VmId;
  readonly nonce: number;
  /** The VM to probe, of `ask` and `told`. */
  readonly target?: VmId;
  readonly digests?: readonly DigestTuple[];
  readonly usage?: readonly UseTuple[];
}

/** Bytes of a member's entry beside its id. */
const ENTRY_BYTES = 24;

/** Bytes of a full record beside its texts. */
const RECORD_BYTES = 40;

/** Bytes of a use beside the workspace's id. */
const USE_BYTES = 34;

/** Bytes of the sender's entry and the fixed fields. */
const FIXED_BYTES = 90;

/**
 * Sends one datagram; what it passes on is counted down.
 *
 * @param fleet the state
 * @param datagram kind, receiver and what it carries beside the news
 * @param atMs now
 */
export function sendGossip(fleet: Fleet, datagram: Datagram, atMs: number): FleetDecision {
  const digests = datagram.digests ?? [];
  const uses = datagram.usage ?? [];
  const carried = sum(digests, DIGEST_BYTES) + sum(uses, USE_BYTES);
  const budget = DATAGRAM_BUDGET_BYTES - FIXED_BYTES - carried;
  const records = takeRecords(fleet, datagram, atMs, budget);
  const rest = budget - records.bytes;
  const entries = takeEntries(records.fleet, datagram, rest);
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
    ...(uses.length === 0 ? {} : { u: uses }),
  };
  return { state: suspects.fleet, effects: [{ type: 'send-datagram', to: datagram.to, body }] };
}

interface Taken<Tuple> {
  readonly fleet: Fleet;
  readonly tuples: readonly Tuple[];
  readonly bytes: number;
}

function sum(tuples: readonly (readonly [string, ...unknown[]])[], each: number): number {
  return tuples.reduce((bytes, tuple) => bytes + each + tuple[0].length, 0);
}

function takeRecords(
  fleet: Fleet,
  datagram: Datagram,
  atMs: number,
  budget: number,
): Taken<RecordTuple> {
  const { introductions, members } = fleet.membership;
  const isNew = atMs - fleet.startedAtMs < INTRODUCTION_MS || datagram.toId === undefined;
  const tuples: RecordTuple[] = isNew ? [encodeRecord(fleet.vm)] : [];
  const taken = introductions.slice(0, MAX_RECORDS_PER_DATAGRAM);
  for (const { id } of taken) {
    const member = members.get(id);
    if (member !== undefined && member.vm.incarnation > 0) tuples.push(encodeRecord(member.vm));
  }
  const bytes = tuples.reduce((total, tuple) => total + RECORD_BYTES + tuple.join('').length, 0);
  if (bytes > budget) return { fleet, tuples: [], bytes: 0 };
  if (taken.length === 0) return { fleet, tuples, bytes };
  const next = withMembership(fleet, { introductions: rotate(introductions, taken.length) });
  return { fleet: next, tuples, bytes };
}

function takeEntries(fleet: Fleet, datagram: Datagram, budget: number): Taken<EntryTuple> {
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
  let next = sent === 0 ? fleet : withMembership(fleet, { rumors: rotate(rumors, sent) });
  if (datagram.kind === 'ping' || datagram.kind === 'ack') next = refresh(next, add);
  return { fleet: next, tuples, bytes };
}

function refresh(fleet: Fleet, add: (id: VmId | undefined) => boolean): Fleet {
  const { roster, rosterCursor: cursor } = fleet.membership;
  if (roster.length === 0) return fleet;
  const count = Math.min(REFRESHED_ENTRIES, roster.length);
  for (let step = 0; step < count; step += 1) add(roster[(cursor + step) % roster.length]);
  return withMembership(fleet, { rosterCursor: (cursor + count) % roster.length });
}

/** Counts what was sent down and sorts it in again: what was sent least goes first. */
function rotate(rumors: readonly Rumor[], sent: number): readonly Rumor[] {
  const again = rumors
    .slice(0, sent)
    .filter((rumor) => rumor.sendsLeft > 1)
    .map((rumor) => ({ ...rumor, sendsLeft: rumor.sendsLeft - 1 }));
  const rest = rumors.slice(sent);
  if (rest.length === 0) return again;
  return [...rest, ...again].sort((one, other) => other.sendsLeft - one.sendsLeft);
}
