/** A request that a VM takes from a caller and another VM serves, and what they tell each other of it. */

import * as z from 'zod';

/** What the VM that serves the request must know beside the request itself. */
export interface ForwardedRequest {
  /** The VM that took it from the caller. */
  readonly vm: string;
  /** Backend servers that may have run it already. */
  readonly servers: readonly string[];
  /** Whether it counts as a request in a retry budget already. */
  readonly isCounted: boolean;
  /** Whether the caller has probably sent the request before. */
  readonly isRetry: boolean;
  /** Version of the catalog by which it was accepted; an older one must not decide on it. */
  readonly catalogVersion: number;
}

/** Header with the encoded fields; only VMs send it to each other. */
export const FORWARDED_HEADER = 'x-citronpass-forwarded';

const MAX_TEXT = 200;
const MAX_SERVERS = 32;

const schema = z.object({
  vm: z.string().max(MAX_TEXT),
  servers: z.array(z.string().max(MAX_TEXT)).max(MAX_SERVERS),
  isCounted: z.boolean(),
  isRetry: z.boolean(),
  catalogVersion: z.number(),
});

export function encodeForwardedRequest(forwarded: ForwardedRequest): string {
  return encodeURIComponent(JSON.stringify(forwarded));
}

/** @returns undefined if the text does not encode a forwarded request */
export function decodeForwardedRequest(text: string): ForwardedRequest | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(decodeURIComponent(text)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // The receiver refuses the request, which the sender logs.
    return undefined;
  }
}
