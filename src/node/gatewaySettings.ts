/** Settings of a gateway: a TOML file, checked as a whole before anything starts. */

import { parse } from 'smol-toml';
import * as z from 'zod';

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'must be IP:PORT');
const duration = z.number().nonnegative();

const schema = z.object({
  vm: z.object({
    name: z.string().min(1),
    failure_domain: z.string().min(1),
    region: z.string(),
    /** Processor time that the VM may use, cores. */
    cores: z.number().positive(),
  }),
  listen: z.object({
    callers: address,
    readiness: address,
    directory: address,
    peers: address,
    /** Where other VMs follow the tables that this one knows. */
    tables: address,
    metrics: address,
  }),
  store: z.object({ address }),
  drain: z.object({
    /** From the request to stop until the process is killed, seconds. */
    grace_s: duration,
  }),
  servers: z.object({
    /** For so long a leaving backend server still serves, milliseconds. */
    drain_ms: duration,
  }),
  credentials: z.object({
    /** Within this time of its removal a credential is no longer honoured, milliseconds. */
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
 * Reads the text of a settings file.
 *
 * @throws Error that names every field that is missing or wrong
 */
export function parseGatewaySettings(text: string): GatewaySettings {
  const checked = schema.safeParse(parse(text));
  if (checked.success) return checked.data;
  const problems = checked.error.issues.map(
    ({ path, message }) => `${path.map(String).join('.')}: ${message}`,
  );
  throw new Error(`Settings are not valid: ${problems.join('; ')}`);
}
