/** Heartbeats on the wire: one MessagePack array a datagram, positions fixed. */

import { decode, encode } from '@msgpack/msgpack';
import type { ServerLoad } from '../gateway/createServerBoard';
import type { Heartbeat } from './peer';

/** First item of every heartbeat; raised when the positions change. */
const FORMAT = 1;

/** @returns the datagram */
export function encodeHeartbeat(heartbeat: Heartbeat): Uint8Array {
  const { vm, incarnation, isAccepting, loads, lost } = heartbeat;
  const loadItems = [...loads].map(([id, { reserved, running }]) => [
    id,
    Math.round(reserved),
    running,
  ]);
  const lostItems = lost.map(({ id, bornMs }) => [id, bornMs]);
  return encode([FORMAT, vm, incarnation, isAccepting, loadItems, lostItems]);
}

/** @returns undefined where the datagram is no heartbeat of this format */
export function decodeHeartbeat(datagram: Uint8Array): Heartbeat | undefined {
  const items = decodeArray(datagram);
  if (items?.[0] !== FORMAT) return undefined;
  const [, vm, incarnation, isAccepting, loadItems, lostItems] = items;
  if (typeof vm !== 'string' || typeof incarnation !== 'string') return undefined;
  if (!Array.isArray(loadItems) || !Array.isArray(lostItems)) return undefined;
  const loads = new Map<string, ServerLoad>();
  for (const item of loadItems as readonly unknown[]) {
    if (!Array.isArray(item)) return undefined;
    const [id, reserved, running] = item as readonly unknown[];
    if (typeof id !== 'string' || typeof reserved !== 'number') return undefined;
    loads.set(id, { reserved, running: typeof running === 'number' ? running : 0 });
  }
  const lost = (lostItems as readonly unknown[]).flatMap((item) => {
    const [id, bornMs] = Array.isArray(item) ? (item as readonly unknown[]) : [];
    return typeof id === 'string' && typeof bornMs === 'number' ? [{ id, bornMs }] : [];
  });
  return { vm, incarnation, isAccepting: isAccepting === true, loads, lost };
}

function decodeArray(datagram: Uint8Array): readonly unknown[] | undefined {
  try {
    const value = decode(datagram);
    return Array.isArray(value) ? (value as readonly unknown[]) : undefined;
  } catch {
    // Anyone can send to the port; what does not decode is no heartbeat.
    return undefined;
  }
}
