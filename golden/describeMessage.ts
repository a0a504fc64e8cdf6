/** Writes an event or effect as one line that a person can read. */

import type { Tagged } from '../src/decisions/decision';

/** Longest text of one field; the rest is cut off. */
const MAX_TEXT = 160;

/** Fields that every event has, or that say nothing to a reader. */
const hidden: readonly string[] = ['type', 'atMs', 'seed', 'address', 'contentType'];

/** Signed tickets, which a reader can't make out. */
const ticketPattern = /ct1\.[A-Za-z0-9_%-]+\.[A-Za-z0-9_%-]+/g;

/** @returns the type, then each field as `name=value` */
export function describeMessage(message: Tagged): string {
  const fields = Object.entries(message)
    .filter(([name, value]) => !hidden.includes(name) && value !== undefined)
    .map(([name, value]) => `${name}=${describeValue(name, value)}`);
  return [message.type, ...fields].join(' ');
}

function describeValue(name: string, value: unknown): string {
  if (name === 'configuration') {
    return `revision ${String((value as { readonly revision: number }).revision)}`;
  }
  const text = typeof value === 'string' ? value : JSON.stringify(leaveOut(name, value), leaveOut);
  const plain = text.replaceAll('\\"', "'").replaceAll('"', '').replaceAll(ticketPattern, 'TICKET');
  return plain.length > MAX_TEXT ? `${plain.slice(0, MAX_TEXT)}...` : plain;
}

interface Staged {
  readonly engine: string;
  readonly layers: { readonly from: number; readonly to: number };
}

/** Leaves out addresses, and writes the stages of routes and receipts short. */
function leaveOut(name: string, value: unknown): unknown {
  if (hidden.includes(name) && name !== 'type') return undefined;
  if (name === 'http' || name === 'peer') return undefined;
  if (name !== 'receipts' && name !== 'route') return value;
  return (value as readonly Staged[]).map(
    ({ engine, layers }) => `${engine} [${layers.from}..${layers.to})`,
  );
}
