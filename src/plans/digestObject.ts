/**
 * Computes digests of configuration objects, with which a plan detects that an object has changed.
 */

import { createHash } from 'node:crypto';

/**
 * Hashes any JSON value; the order of an object's keys does not matter.
 *
 * @param value a JSON value, or undefined
 * @returns SHA-256 in lower-case hexadecimal, or undefined for undefined
 */
export function digestObject(value: unknown): string | undefined {
  if (value === undefined) return undefined;
  return createHash('sha256').update(serializeCanonically(value)).digest('hex');
}

function serializeCanonically(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) => sortKeys(item));
}

function sortKeys(item: unknown): unknown {
  if (item === null || typeof item !== 'object' || Array.isArray(item)) return item;
  const entries = Object.entries(item).sort(([one], [other]) => (one < other ? -1 : 1));
  return Object.fromEntries(entries);
}
