/** Schemas of results and claims in the table; rows are validated when they are read. */

import { z } from 'zod';

const refusalSchema = z.discriminatedUnion('outcome', [
  z.object({
    outcome: z.literal('not-run'),
    reason: z.string(),
    detail: z.string(),
    retryAfterMs: z.number().exactOptional(),
  }),
  z.object({ outcome: z.literal('unknown'), reason: z.string(), detail: z.string() }),
  z.object({ outcome: z.literal('failed'), reason: z.string(), detail: z.string() }),
]);

const resultSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('answered'),
    answer: z.object({ status: z.number(), contentType: z.string(), body: z.string() }),
  }),
  z.object({ type: z.literal('refused'), refusal: refusalSchema }),
]);

/** A row of results: operation key, fingerprint and result of each operation. */
export const chunkSchema = z.array(z.tuple([z.string(), z.string(), resultSchema]));

/** The row of a key that a caller chose. It is never deleted, so its version only grows. */
export const claimRowSchema = z.discriminatedUnion('state', [
  z.object({
    state: z.literal('claimed'),
    vm: z.string(),
    incarnation: z.number(),
    token: z.string(),
    fingerprint: z.string(),
  }),
  z.object({ state: z.literal('released'), token: z.string() }),
  z.object({
    state: z.literal('done'),
    token: z.string(),
    fingerprint: z.string(),
    result: resultSchema,
  }),
]);

export type ClaimRow = z.infer<typeof claimRowSchema>;
