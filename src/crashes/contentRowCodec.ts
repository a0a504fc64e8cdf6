/**
 * Encodes what is known of refused contents as a row of the store. All VMs may end at once, and what they know of
 * contents in memory ends with them.
 */

import * as z from 'zod';
import type { ContentReport } from './contentTally';

/** Names the format, so that a VM of another version tells a row that it can't read from one without contents. */
const FORMAT = 1;

const MAX_TEXT = 200;

/** Bounds that keep the row well below the 64 KiB of a row of the store. */
export const MAX_KEPT_CONTENTS = 64;
const MAX_KEPT_SERVERS = 8;

const rowSchema = z.object({
  format: z.literal(FORMAT),
  contents: z
    .array(
      z.object({
        content: z.string().max(MAX_TEXT),
        servers: z.array(z.string().max(MAX_TEXT)).max(MAX_KEPT_SERVERS),
        ageMs: z.number().min(0),
      }),
    )
    .max(MAX_KEPT_CONTENTS),
});

/**
 * @param reports crashes by content; of each the servers that crashed last are kept, and none that are disproved
 * @returns the row's value
 */
export function encodeContentRow(reports: readonly ContentReport[]): string {
  const contents = reports
    .slice(0, MAX_KEPT_CONTENTS)
    .map(({ content, servers, disproved, ageMs }) => ({
      content,
      servers: servers.filter((server) => !disproved.includes(server)).slice(-MAX_KEPT_SERVERS),
      ageMs: Math.round(ageMs),
    }));
  return JSON.stringify({ format: FORMAT, contents });
}

/** @returns undefined if the value has another format */
export function decodeContentRow(value: string): readonly ContentReport[] | undefined {
  try {
    const checked = rowSchema.safeParse(JSON.parse(value));
    return checked.data?.contents.map((kept) => ({ ...kept, disproved: [] }));
  } catch {
    // Not JSON: another writer's.
    return undefined;
  }
}
