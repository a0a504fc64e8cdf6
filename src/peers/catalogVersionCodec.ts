/** Encodes the version of the catalog that a VM has in force, as datagrams beside the heartbeats. */

import { encode } from '@msgpack/msgpack';
import * as z from 'zod';
import { decodeDatagram } from './decodeDatagram';

/** First item of every datagram; a heartbeat begins with a number. */
export const CATALOG_FORMAT = 'catalog-1';

const datagramSchema = z.tuple([z.literal(CATALOG_FORMAT), z.int().nonnegative()]);

/** @param version version of the catalog in force */
export function encodeCatalogVersion(version: number): Uint8Array {
  return encode([CATALOG_FORMAT, version]);
}

/** @returns undefined if the datagram holds no version in this format */
export function decodeCatalogVersion(datagram: Uint8Array): number | undefined {
  const checked = datagramSchema.safeParse(decodeDatagram(datagram));
  return checked.data?.[1];
}
