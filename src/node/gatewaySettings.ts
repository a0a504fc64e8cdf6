/** Settings of a gateway. The TOML file is validated completely before the gateway starts. */

import { parse } from 'smol-toml';
import * as z from 'zod';
import { isSocketAddress } from '../contracts/isSocketAddress';

const address = z.string().refine(isSocketAddress, 'must be IP:PORT');
const duration = z.number().nonnegative();

/** A positive number, also as a text; an empty text, as a template without the value gives it, states none. */
const optionalSize = z
  .union([z.number(), z.string().regex(/^\d*(\.\d+)?$/, 'must be a number')])
  .transform((value) => (value === '' ? undefined : Number(value)))
  .pipe(z.number().positive().optional())
  .optional();

const schema = z.object({
  vm: z.object({
    name: z.string().min(1),
    failure_domain: z.string().min(1),
    region: z.string(),
    /** Processor time that the VM may use, cores. */
    cores: z.number().positive(),
    /** Memory that the process may use, MB; bounds what callers may take of it. */
    memory_mb: optionalSize,
    /** Descriptors that the process may open; bounds the connections of callers. */
    max_descriptors: optionalSize,
  }),
  listen: z.object({
    callers: address,
    readiness: address,
    directory: address,
    peers: address,
    /** Address at which other VMs follow this VM's copies of the store's tables. */
    tables: address,
    metrics: address,
  }),
  store: z.object({ address }),
  drain: z.object({
    /** Time between the request to stop and the kill of the process, seconds. */
    grace_s: duration,
  }),
  servers: z.object({
    /** Time for which a leaving backend server still serves requests, milliseconds. */
    drain_ms: duration,
  }),
  credentials: z.object({
    /** Time within which the gateway stops accepting a removed credential, milliseconds. */
    revoke_ms: duration,
  }),
  retries: z.object({
    ratio: z.number().nonnegative(),
    extra: z.number().nonnegative(),
    /** Length of the window in which retries are counted, seconds. */
    window_s: z.number().positive(),
  }),
  directory: z.object({
    /** Longest validity that callers accept, seconds. */
    max_validity_s: z.number().positive(),
  }),
});

export type GatewaySettings = Readonly<z.infer<typeof schema>>;

/**
 * Parses the text of a settings file.
 *
 * @throws Error that names every missing or invalid field
 */
export function parseGatewaySettings(text: string): GatewaySettings {
  const parsed = schema.safeParse(parse(text));
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(
    ({ path, message }) => `${path.map(String).join('.')}: ${message}`,
  );
  throw new Error(`Settings are not valid: ${problems.join('; ')}`);
}
