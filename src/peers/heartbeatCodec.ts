/**
 * Encodes heartbeats as datagrams: one MessagePack array each, with fixed positions. A VM of a large fleet decodes
 * thousands of loads a second, so the positions are checked by hand and not by a schema.
 */

import { encode } from '@msgpack/msgpack';
import type { GatewayWork, ServerLoad } from '../gateway/gatewayWork';
import { decodeDatagram } from './decodeDatagram';
import type { DomainDigest, DomainMember, Heartbeat } from './peer';

/** Version of the format: the first item of every heartbeat, raised when the positions change. */
const FORMAT_VERSION = 2;

/** Id, tokens times layers, requests. */
type EncodedLoad = readonly [string, number, number];

type EncodedWork = readonly [readonly EncodedLoad[], number];

/** @returns the datagram */
export function encodeHeartbeat(heartbeat: Heartbeat): Uint8Array {
  const { vm, incarnation, isAccepting, work, lost, domains } = heartbeat;
  return encode([
    FORMAT_VERSION,
    vm,
    incarnation,
    isAccepting,
    encodeWork(work),
    lost.map(({ id, bornMs }) => [id, bornMs]),
    domains.map((domain) => [
      domain.failureDomain,
      domain.members.map((member) => [
        member.vm,
        member.incarnation,
        member.isAccepting,
        Math.round(member.heardAgoMs),
      ]),
      encodeWork(domain.work),
    ]),
  ]);
}

/** @returns undefined if the datagram is not a heartbeat of this format version */
export function decodeHeartbeat(datagram: Uint8Array): Heartbeat | undefined {
  const items = decodeDatagram(datagram);
  if (!isTuple(items, 7) || items[0] !== FORMAT_VERSION) return undefined;
  const [, vm, incarnation, isAccepting, encodedWork, encodedLost, encodedDomains] = items;
  const work = decodeWork(encodedWork);
  const lost = decodeAll(encodedLost, decodeLostServer);
  const domains = decodeAll(encodedDomains, decodeDomain);
  if (typeof vm !== 'string' || typeof incarnation !== 'string') return undefined;
  if (typeof isAccepting !== 'boolean' || work === undefined) return undefined;
  if (lost === undefined || domains === undefined) return undefined;
  return { vm, incarnation, isAccepting, work, lost, domains };
}

function encodeWork({ servers, crossingPerMs }: GatewayWork): EncodedWork {
  const loads = [...servers].map(([id, { reserved, running }]): EncodedLoad => [
    id,
    Math.round(reserved),
    running,
  ]);
  return [loads, crossingPerMs];
}

function decodeWork(value: unknown): GatewayWork | undefined {
  if (!isTuple(value, 2)) return undefined;
  const [loads, crossingPerMs] = value;
  if (!Array.isArray(loads) || !isFiniteNumber(crossingPerMs)) return undefined;
  const servers = new Map<string, ServerLoad>();
  for (const load of loads as readonly unknown[]) {
    if (!isTuple(load, 3)) return undefined;
    const [id, reserved, running] = load;
    if (typeof id !== 'string' || !isFiniteNumber(reserved) || !isFiniteNumber(running)) {
      return undefined;
    }
    servers.set(id, { reserved, running });
  }
  return { servers, crossingPerMs };
}

function decodeLostServer(value: unknown): Heartbeat['lost'][number] | undefined {
  if (!isTuple(value, 2)) return undefined;
  const [id, bornMs] = value;
  return typeof id === 'string' && isFiniteNumber(bornMs) ? { id, bornMs } : undefined;
}

function decodeMember(value: unknown): DomainMember | undefined {
  if (!isTuple(value, 4)) return undefined;
  const [vm, incarnation, isAccepting, heardAgoMs] = value;
  if (typeof vm !== 'string' || typeof incarnation !== 'string') return undefined;
  if (typeof isAccepting !== 'boolean' || !isFiniteNumber(heardAgoMs)) return undefined;
  // A time to come would keep the VM alive until then.
  return { vm, incarnation, isAccepting, heardAgoMs: Math.max(0, heardAgoMs) };
}

function decodeDomain(value: unknown): DomainDigest | undefined {
  if (!isTuple(value, 3)) return undefined;
  const [failureDomain, encodedMembers, encodedWork] = value;
  const members = decodeAll(encodedMembers, decodeMember);
  const work = decodeWork(encodedWork);
  if (typeof failureDomain !== 'string' || members === undefined || work === undefined) {
    return undefined;
  }
  return { failureDomain, members, work };
}

/** @returns undefined if the value is no list or an item does not decode */
function decodeAll<Item>(
  value: unknown,
  decodeItem: (item: unknown) => Item | undefined,
): readonly Item[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const items: Item[] = [];
  for (const encoded of value as readonly unknown[]) {
    const item = decodeItem(encoded);
    if (item === undefined) return undefined;
    items.push(item);
  }
  return items;
}

function isTuple(value: unknown, length: number): value is readonly unknown[] {
  return Array.isArray(value) && value.length === length;
}

/** Loads are added up: one that is no number would spoil the sum for good. */
function isFiniteNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}
