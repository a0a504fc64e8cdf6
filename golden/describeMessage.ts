/** Formats an event or effect as one readable line. */

import type { Tagged } from '../src/decisions/decision';

/** Longest text of one field; longer text is truncated. */
const MAX_TEXT = 160;

/** Fields that every event has, or that do not help a reader. */
const omittedFields: readonly string[] = ['type', 'atMs', 'seed', 'address', 'contentType'];

/** Signed tickets, which are not readable. */
const ticketPattern = /ct1\.[A-Za-z0-9_%-]+\.[A-Za-z0-9_%-]+/g;

/** @returns the type, then each field as `name=value` */
export function describeMessage(message: Tagged): string {
  const fields = Object.entries(message)
    .filter(([name, value]) => !omittedFields.includes(name) && value !== undefined)
    .map(([name, value]) => `${name}=${describeValue(name, value)}`);
  return [message.type, ...fields].join(' ');
}

function describeValue(name: string, value: unknown): string {
  if (name === 'configuration') {
    return `revision ${String((value as { readonly revision: number }).revision)}`;
  }
  const text =
    typeof value === 'string' ? value : JSON.stringify(replaceField(name, value), replaceField);
  const plain = text.replaceAll('\\"', "'").replaceAll('"', '').replaceAll(ticketPattern, 'TICKET');
  return plain.length > MAX_TEXT ? `${plain.slice(0, MAX_TEXT)}...` : plain;
}

interface LayerStage {
  readonly engine: string;
  readonly layers: { readonly from: number; readonly to: number };
}

/** JSON replacer: omits addresses and shortens the stages of routes and receipts. */
function replaceField(name: string, value: unknown): unknown {
  if (omittedFields.includes(name) && name !== 'type') return undefined;
  if (name === 'http' || name === 'peer') return undefined;
  if (name !== 'receipts' && name !== 'route') return value;
  return (value as readonly LayerStage[]).map(
    ({ engine, layers }) => `${engine} [${layers.from}..${layers.to})`,
  );
}
