/**
 * The body of a datagram between VMs, encoded as msgpack. It uses tuples instead of objects to save
 * bytes. A newer version may add fields, and items at the end of tuples: this version ignores both. A
 * newer version must not change the meaning of fields that an older one reads.
 */

import { z } from 'zod';
import {
  MAX_DIGESTS_PER_DATAGRAM,
  MAX_ENTRIES_PER_DATAGRAM,
  MAX_SUSPECT_SERVERS,
} from './fleetConstants';

/** Version written into the body of each datagram. */
export const GOSSIP_VERSION = 1;

/**
 * `ping` requests an `ack`; `ask` requests an indirect probe and `told` reports its success; `news` and
 * `digest` are not answered; `use` reports the usage of workspaces and `sums` answers it.
 */
export type GossipKind = 'ping' | 'ack' | 'ask' | 'told' | 'news' | 'digest' | 'use' | 'sums';

const count = z.number().int().min(0);
const age = z.number().min(0);
const id = z.string().min(1).max(256);
const port = z.number().int().min(0).max(65535);

/** id, incarnation, version, status, flags, applied revision. */
export const entrySchema = z
  .tuple([id, count, count, count.max(3), count, count])
  .rest(z.unknown());

/** id, incarnation, failure domain, region, then host and port of HTTP, peer and gossip. */
export const recordSchema = z
  .tuple([id, count, id, id, z.string(), port, z.string(), port, z.string(), port])
  .rest(z.unknown());

/** server, state (1 leaving), age in ms, incarnation hash, whether relayed, then its load if any. */
const digest = z.tuple([id, count, age, count, count]).rest(z.unknown());

/** fingerprint, crashes, designated server or null, age in ms, then the servers that crashed. */
const suspect = z
  .tuple([id, count, id.nullable(), age, z.array(id).max(MAX_SUSPECT_SERVERS).optional()])
  .rest(z.unknown());

/** workspace, tokens per second, requests per second, running, age in ms. */
const use = z.tuple([id, z.number(), z.number(), z.number(), age]).rest(z.unknown());

/** A datagram's body: `v` version, `k` kind, `n` nonce, `e` sender, `h` head revision and so on. */
export const gossipSchema = z.object({
  v: count.min(1),
  k: z.string(),
  n: count,
  /** The sender's own entry. */
  e: entrySchema,
  /** Highest revision that the sender knows of. */
  h: count,
  /** The VM to probe; only in `ask` and `told`. */
  t: id.optional(),
  /** Entries of other members. */
  m: z
    .array(entrySchema)
    .max(4 * MAX_ENTRIES_PER_DATAGRAM)
    .optional(),
  /** Full records of VMs. */
  f: z.array(recordSchema).max(MAX_ENTRIES_PER_DATAGRAM).optional(),
  /** Digests of backend servers. */
  s: z
    .array(digest)
    .max(4 * MAX_DIGESTS_PER_DATAGRAM)
    .optional(),
  /** Suspect contents. */
  x: z.array(suspect).max(64).optional(),
  /** Usage of workspaces. */
  u: z.array(use).max(256).optional(),
});

export type Gossip = z.infer<typeof gossipSchema>;
export type EntryTuple = z.infer<typeof entrySchema>;
export type RecordTuple = z.infer<typeof recordSchema>;
export type DigestTuple = z.infer<typeof digest>;
export type SuspectTuple = z.infer<typeof suspect>;
export type UsageTuple = z.infer<typeof use>;
