/** Encodes the head as the JSON text of its row. */

import type { Head } from './head';

/** @returns the value of the head row */
export function encodeHead(head: Head): string {
  return JSON.stringify({ revision: head.revision, changeId: head.changeId });
}
