/** What VMs say to each other about the configuration, on the reliable channel. */

import { z } from 'zod';
import { MAX_OBJECTS_PER_CHUNK, MAX_REVISIONS_PER_FETCH } from './configurationConstants';

const count = z.number().int().min(0);

/** Asks for the revisions after one. */
export const revisionsWantedSchema = z.object({
  type: z.literal('revisions-wanted'),
  after: count,
});

/** Revisions as the JSON text of their rows, lowest first. */
export const revisionsSchema = z.object({
  type: z.literal('revisions'),
  revisions: z.array(z.string()).max(MAX_REVISIONS_PER_FETCH),
  head: count,
});

/** Asks for the chunk of a snapshot after this object (`kind/key`); empty for the first. */
export const snapshotWantedSchema = z.object({
  type: z.literal('snapshot-wanted'),
  after: z.string(),
});

/** A chunk of a snapshot: `put` changes as JSON text. */
export const snapshotSchema = z.object({
  type: z.literal('snapshot'),
  /** Revision that the sender had in force when it sent this chunk. */
  revision: count,
  after: z.string(),
  objects: z.array(z.string()).max(MAX_OBJECTS_PER_CHUNK),
  /** Where the next chunk goes on; null after the last. */
  next: z.string().nullable(),
});

export type RevisionsWanted = z.infer<typeof revisionsWantedSchema>;
export type Revisions = z.infer<typeof revisionsSchema>;
export type SnapshotWanted = z.infer<typeof snapshotWantedSchema>;
export type Snapshot = z.infer<typeof snapshotSchema>;
