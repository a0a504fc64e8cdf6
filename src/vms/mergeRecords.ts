/** Merges the full records that a peer sent. */

import { z } from 'zod';
import { chain } from './chain';
import { decodeEntry } from './decodeEntry';
import { decodeRecord } from './decodeRecord';
import type { Fleet, FleetDecision } from './fleet';
import { MAX_RECORDS_PER_MESSAGE } from './fleetConstants';
import { entrySchema, recordSchema } from './gossip';
import { mergeEntry } from './mergeEntry';
import { mergeRecord } from './mergeRecord';

/** Message with full records and entries of VMs. */
export const recordsSchema = z.object({
  type: z.literal('records'),
  f: z.array(recordSchema).max(MAX_RECORDS_PER_MESSAGE),
  m: z.array(entrySchema).max(MAX_RECORDS_PER_MESSAGE),
});

export function mergeRecords(
  fleet: Fleet,
  message: z.infer<typeof recordsSchema>,
  atMs: number,
): FleetDecision {
  return chain(
    fleet,
    ...message.f.map(
      (tuple) => (state: Fleet) =>
        mergeRecord(state, decodeRecord(tuple), atMs, { isPropagated: false }),
    ),
    ...message.m.map((tuple) => (state: Fleet) => mergeEntry(state, decodeEntry(tuple), atMs)),
  );
}
