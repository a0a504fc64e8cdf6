/** Heartbeats on the wire: one MessagePack array a datagram, positions fixed. */

import { decode, encode } from '@msgpack/msgpack';
import * as z from 'zod';
import type { GatewayWork } from '../gateway/gatewayWork';
import type { Heartbeat } from './peer';

/** First item of every heartbeat; raised when the positions change. */
const FORMAT = 2;

const loadSchema = z.tuple([z.string(), z.number(), z.number()]);

const workSchema = z.tuple([z.array(loadSchema), z.number()]);

const memberSchema = z.tuple([z.string(), z.string(), z.boolean(), z.number()]);

const heartbeatSchema = z.tuple([
  z.literal(FORMAT),
  z.string(),
  z.string(),
  z.boolean(),
  workSchema,
  z.array(z.tuple([z.string(), z.number()])),
  z.array(z.tuple([z.string(), z.array(memberSchema), workSchema])),
]);

type WorkItem = z.infer<typeof workSchema>;

/** @returns the datagram */
export function encodeHeartbeat(heartbeat: Heartbeat): Uint8Array {
  const { vm, incarnation, isAccepting, work, lost, domains } = heartbeat;
  return encode([
    FORMAT,
    vm,
    incarnation,
    isAccepting,
    toItem(work),
    lost.map(({ id, bornMs }) => [id, bornMs]),
    domains.map((domain) => [
      domain.failureDomain,
      domain.members.map((member) => [
        member.vm,
        member.incarnation,
        member.isAccepting,
        Math.round(member.heardAgoMs),
      ]),
      toItem(domain.work),
    ]),
  ]);
}

/** @returns undefined where the datagram is no heartbeat of this format */
export function decodeHeartbeat(datagram: Uint8Array): Heartbeat | undefined {
  const checked = heartbeatSchema.safeParse(decodeDatagram(datagram));
  if (!checked.success) return undefined;
  const [, vm, incarnation, isAccepting, work, lost, domains] = checked.data;
  return {
    vm,
    incarnation,
    isAccepting,
    work: toWork(work),
    lost: lost.map(([id, bornMs]) => ({ id, bornMs })),
    domains: domains.map(([failureDomain, members, domainWork]) => ({
      failureDomain,
      members: members.map(([name, life, accepts, heardAgoMs]) => ({
        vm: name,
        incarnation: life,
        isAccepting: accepts,
        heardAgoMs,
      })),
      work: toWork(domainWork),
    })),
  };
}

function toItem({ servers, crossingPerMs }: GatewayWork): WorkItem {
  const loads = [...servers].map(([id, { reserved, running }]): WorkItem[0][number] => [
    id,
    Math.round(reserved),
    running,
  ]);
  return [loads, crossingPerMs];
}

function toWork([loads, crossingPerMs]: WorkItem): GatewayWork {
  const servers = new Map(loads.map(([id, reserved, running]) => [id, { reserved, running }]));
  return { servers, crossingPerMs };
}

function decodeDatagram(datagram: Uint8Array): unknown {
  try {
    return decode(datagram);
  } catch {
    // Anyone can send to the port; what does not decode is no heartbeat.
    return undefined;
  }
}
