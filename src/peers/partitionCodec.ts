/** Encodes whether a VM is partitioned from all backend servers, as datagrams beside the heartbeats. */

import { encode } from '@msgpack/msgpack';
import * as z from 'zod';
import { decodeDatagram } from './decodeDatagram';

export interface PartitionNotice {
  readonly vm: string;
  readonly isPartitioned: boolean;
}

/** First item of every datagram; a heartbeat begins with a number. */
export const PARTITION_FORMAT = 'partition-1';

const MAX_TEXT = 200;

const datagramSchema = z.tuple([
  z.literal(PARTITION_FORMAT),
  z.string().max(MAX_TEXT),
  z.boolean(),
]);

export function encodePartitionNotice({ vm, isPartitioned }: PartitionNotice): Uint8Array {
  return encode([PARTITION_FORMAT, vm, isPartitioned]);
}

/** @returns undefined if the datagram holds no notice of this format */
export function decodePartitionNotice(datagram: Uint8Array): PartitionNotice | undefined {
  const checked = datagramSchema.safeParse(decodeDatagram(datagram));
  if (!checked.success) return undefined;
  const [, vm, isPartitioned] = checked.data;
  return { vm, isPartitioned };
}
