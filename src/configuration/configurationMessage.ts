/** Messages about the configuration that VMs exchange on the reliable channel. */

import { z } from 'zod';
import { MAX_OBJECTS_PER_CHUNK, MAX_REVISIONS_PER_FETCH } from './configurationConstants';

const nonNegativeInteger = z.number().int().min(0);

/** Requests the revisions after the one with number `after`. */
export const revisionsWantedSchema = z.object({
  type: z.literal('revisions-wanted'),
  after: nonNegativeInteger,
});

/** Revisions in ascending order, each as the JSON text that its table row holds. */
export const revisionsSchema = z.object({
  type: z.literal('revisions'),
  revisions: z.array(z.string()).max(MAX_REVISIONS_PER_FETCH),
  /** Highest revision that the sender knows of. */
  head: nonNegativeInteger,
});

/** Requests the snapshot chunk after the object `after` (`kind/key`; empty for the first chunk). */
export const snapshotWantedSchema = z.object({
  type: z.literal('snapshot-wanted'),
  after: z.string(),
});

/** A chunk of a snapshot: for each object, a `put` change as JSON text. */
export const snapshotSchema = z.object({
  type: z.literal('snapshot'),
  /** Revision that the sender had applied when it sent this chunk. */
  revision: nonNegativeInteger,
  /** `kind/key` of the last object before this chunk; empty in the first one. */
  after: z.string(),
  objects: z.array(z.string()).max(MAX_OBJECTS_PER_CHUNK),
  /** Value of `after` for the next chunk; null in the last one. */
  next: z.string().nullable(),
});

export type RevisionsWanted = z.infer<typeof revisionsWantedSchema>;
export type Revisions = z.infer<typeof revisionsSchema>;
export type SnapshotWanted = z.infer<typeof snapshotWantedSchema>;
export type Snapshot = z.infer<typeof snapshotSchema>;
