/** Parses the record that a VM wrote about itself. */

import * as z from 'zod';
import type { PeerRecord } from '../peers/peer';

const schema = z.object({
  vm: z.string(),
  incarnation: z.string(),
  callerAddress: z.string(),
  peerAddress: z.string(),
  tableAddress: z.string(),
  failureDomain: z.string(),
  cores: z.number(),
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
