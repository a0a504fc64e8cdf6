/**
 * Encodes reports of contents as datagrams of their own: VMs of earlier versions, which drop what is no
 * heartbeat, still understand all others.
 */

import { encode } from '@msgpack/msgpack';
import * as z from 'zod';
import type { ContentReport } from '../crashes/contentTally';
import { decodeDatagram } from './decodeDatagram';

/** First item of every datagram; a heartbeat begins with a number. */
export const CONTENTS_FORMAT = 'contents-1';

const MAX_TEXT = 200;
const MAX_SERVERS = 64;

/** Reports per datagram, which keep it below the size that networks split. */
export const MAX_REPORTS = 6;

const serversSchema = z.array(z.string().max(MAX_TEXT)).max(MAX_SERVERS);

const datagramSchema = z.tuple([
  z.literal(CONTENTS_FORMAT),
  z
    .array(z.tuple([z.string().max(MAX_TEXT), serversSchema, serversSchema, z.number().min(0)]))
    .max(MAX_REPORTS),
]);

/** @returns the datagram; at most `MAX_REPORTS` reports fit into it */
export function encodeContentReports(reports: readonly ContentReport[]): Uint8Array {
  return encode([
    CONTENTS_FORMAT,
    reports.map(({ content, servers, disproved, ageMs }) => [
      content,
      servers.slice(-MAX_SERVERS),
      disproved.slice(-MAX_SERVERS),
      Math.round(ageMs),
    ]),
  ]);
}

/** @returns undefined if the datagram holds no reports of this format */
export function decodeContentReports(datagram: Uint8Array): readonly ContentReport[] | undefined {
  const checked = datagramSchema.safeParse(decodeDatagram(datagram));
  if (!checked.success) return undefined;
  return checked.data[1].map(([content, servers, disproved, ageMs]) => ({
    content,
    servers,
    disproved,
    ageMs,
  }));
}
