/**
 * Encodes reports of the limits that backend servers announce as datagrams of their own: VMs of earlier
 * versions, which drop what is no heartbeat, still understand all others.
 */

import { encode } from '@msgpack/msgpack';
import * as z from 'zod';
import type { LimitReport } from '../gateway/createRequestLimits';
import { decodeDatagram } from './decodeDatagram';

/** First item of every datagram; a heartbeat begins with a number. */
export const LIMITS_FORMAT = 'limits-1';

const MAX_TEXT = 200;

/** Reports per datagram, which keep it below the size that networks split. */
export const MAX_LIMIT_REPORTS = 20;

const reportSchema = z.tuple([
  z.string().max(MAX_TEXT),
  z.number(),
  z.number().min(0).nullable(),
  z.number().min(0),
]);

const datagramSchema = z.tuple([
  z.literal(LIMITS_FORMAT),
  z.array(reportSchema).max(MAX_LIMIT_REPORTS),
]);

/** @returns the datagram; at most `MAX_LIMIT_REPORTS` reports fit into it */
export function encodeLimitReports(reports: readonly LimitReport[]): Uint8Array {
  return encode([
    LIMITS_FORMAT,
    reports.map(({ id, bornMs, perSecond, ageMs }) => [
      id,
      bornMs,
      perSecond ?? null,
      Math.round(ageMs),
    ]),
  ]);
}

/** @returns undefined if the datagram holds no reports of this format */
export function decodeLimitReports(datagram: Uint8Array): readonly LimitReport[] | undefined {
  const checked = datagramSchema.safeParse(decodeDatagram(datagram));
  if (!checked.success) return undefined;
  return checked.data[1].map(([id, bornMs, perSecond, ageMs]) => ({
    id,
    bornMs,
    perSecond: perSecond ?? undefined,
    ageMs,
  }));
}
