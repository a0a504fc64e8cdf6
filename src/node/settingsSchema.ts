/**
 * The schema of a settings file. Unknown keys are errors. Every message names the accepted values.
 */

import { z } from 'zod';
import { ANSWER_VALID_MS } from '../vms/fleetConstants';
import type { Address } from '../vms/vm';
import { DEFAULT_LIMITS, MAX_PORT } from './constants';

const ADDRESS = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;

const SHA256_HEX = /^[0-9a-f]{64}$/;

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const text = (accepted: string): z.ZodString => z.string({ error: `accepted is ${accepted}` });

const name = text('a name').regex(NAME, {
  error: 'accepted is a name of letters, digits, ".", "_" and "-", at most 63 long',
});

const address = text('"IP:port"').transform((value, context): Address => {
  const match = ADDRESS.exec(value);
  const host = match?.[1] ?? '';
  const port = Number(match?.[2] ?? Number.NaN);
  if (match === null || port > MAX_PORT) {
    context.addIssue(`accepted is "IP:port" with a port from 0 to ${MAX_PORT}, found "${value}"`);
    return z.NEVER;
  }
  return { host: host.replace(/^\[|\]$/g, ''), port };
});

const url = z.url({
  protocol: /^https?$/,
  error: 'accepted is a URL that begins with http:// or https://',
});

const count = (least: number, most: number, fallback: number): z.ZodDefault<z.ZodInt> => {
  const error = `accepted is a whole number from ${least} to ${most}`;
  return z.int({ error }).min(least, { error }).max(most, { error }).default(fallback);
};

/** A secret is named, never written down: by the file or the environment variable that holds it. */
const secret = z.union(
  [
    z.strictObject({ file: z.string().min(1) }).readonly(),
    z.strictObject({ env: z.string().min(1) }).readonly(),
  ],
  { error: 'accepted is { file = "PATH" } or { env = "VARIABLE" }' },
);

/** File or environment variable that holds a secret. */
export type SecretSource = z.infer<typeof secret>;

const table = <Shape extends z.core.$ZodLooseShape>(
  shape: Shape,
): z.ZodObject<Shape, z.core.$strict> =>
  z.strictObject(shape, {
    error: (issue) =>
      issue.code === 'unrecognized_keys'
        ? `unknown key; accepted are ${Object.keys(shape).join(', ')}`
        : `accepted is a table with ${Object.keys(shape).join(', ')}`,
  });

const operator = table({
  name,
  role: z.enum(['read', 'plan', 'confirm'], { error: 'accepted is "read", "plan" or "confirm"' }),
  token_hash: text('a SHA-256 in hexadecimal').regex(SHA256_HEX, {
    error: 'accepted is a SHA-256 in 64 lower-case hexadecimal digits',
  }),
});

const limits = table({
  body_bytes: count(1024, 64 * 1024 * 1024, DEFAULT_LIMITS.bodyBytes),
  header_bytes: count(1024, 128 * 1024, DEFAULT_LIMITS.headerBytes),
  prompt_tokens: count(1, 1_000_000, DEFAULT_LIMITS.promptTokens),
  answer_tokens: count(1, 1_000_000, DEFAULT_LIMITS.answerTokens),
  caller_buffer_bytes: count(1024, 16 * 1024 * 1024, DEFAULT_LIMITS.callerBufferBytes),
  caller_idle_ms: count(100, 600_000, DEFAULT_LIMITS.callerIdleMs),
  concurrent_requests: count(1, 100_000, DEFAULT_LIMITS.concurrentRequests),
});

/** Schema of the file. */
export const settingsSchema = table({
  vm: table({ id: name, region: name, failure_domain: name }),
  listen: table({ http: address, peer: address, gossip: address }),
  platform: table({ table: url, membership: url }),
  fleet: table({
    name: name.default('citronpass'),
    seeds: z.array(address, { error: 'accepted is a list of "IP:port"' }).max(64).default([]),
    answer_valid_ms: count(100, 600_000, ANSWER_VALID_MS),
    key: secret,
    previous_key: secret.optional(),
  }),
  operators: z
    .array(operator, { error: 'accepted is a list of [[operators]] tables' })
    .max(256)
    .default([]),
  limits: limits.prefault({}),
});

/** A validated settings file, with its keys as they are written. */
export type SettingsFile = z.infer<typeof settingsSchema>;
