/** Parses the record that a VM wrote about itself. */

import * as z from 'zod';
import { isSocketAddress } from '../contracts/isSocketAddress';
import type { PeerRecord } from '../peers/peer';

/** Far more cores than any VM has. */
const MAX_CORES = 4_096;

const addressSchema = z.string().refine(isSocketAddress);

const schema = z.object({
  vm: z.string(),
  incarnation: z.string(),
  callerAddress: addressSchema,
  peerAddress: addressSchema,
  tableAddress: addressSchema,
  failureDomain: z.string(),
  cores: z.number().positive().max(MAX_CORES),
});

/** @returns undefined if the text is not a valid record */
export function parsePeerRecord(text: string | undefined): PeerRecord | undefined {
  if (text === undefined) return undefined;
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    // Another writer created the row; it does not describe a VM.
    return undefined;
  }
}
