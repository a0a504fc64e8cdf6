/** Schemas that validate revisions received from the table or from peers. */

import { z } from 'zod';
import { MAX_CHANGES_PER_REVISION } from './configurationConstants';
import type { ObjectKind } from './configuration';

const id = z.string().min(1).max(256);
const nonNegative = z.number().nonnegative();
const address = z.object({ host: z.string(), port: z.number().int().min(0).max(65535) });
const layers = z.object({ from: z.number().int().min(0), to: z.number().int().min(0) });

const method = z.object({
  method: z.string(),
  path: z.string(),
  isIdempotent: z.boolean(),
  honoursIdempotencyKey: z.boolean(),
  statusPath: z.string().optional(),
  timeoutMs: nonNegative,
  maxBodyBytes: nonNegative,
});

const service = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('model'),
    id,
    workspace: id,
    model: id,
    firstTokenTargetMs: nonNegative,
    tokenIntervalTargetMs: nonNegative,
    neededTokensPerSecond: z.number().positive().optional(),
    maxTokens: nonNegative,
  }),
  z.object({
    kind: z.literal('plain'),
    id,
    workspace: id,
    backendServers: z.array(id),
    contracts: z.array(method),
  }),
]);

/** Schema of each kind of object; fields added by a newer version are dropped. */
export const objectSchemas: Readonly<Record<ObjectKind, z.ZodType>> = {
  failureDomain: z.object({ id, region: id }),
  link: z.object({ from: id, to: id, bytesPerSecond: nonNegative, delayMs: nonNegative }),
  acceleratorKind: z.object({
    id,
    memoryBytes: nonNegative,
    decodeBaseMicros: nonNegative,
    decodeMicrosPerSequence: nonNegative,
    prefillMicrosPerToken: nonNegative,
    maxBatch: nonNegative,
  }),
  model: z.object({
    id,
    layers: nonNegative,
    bytesPerLayer: nonNegative,
    kvBytesPerTokenLayer: nonNegative,
    activationBytes: nonNegative,
  }),
  backendServer: z.object({
    id,
    kind: z.enum(['engine', 'plain']),
    failureDomain: id,
    address,
    checksFencing: z.boolean(),
    leaving: z.boolean(),
  }),
  engine: z.object({
    id,
    acceleratorKind: id,
    accelerators: nonNegative,
    uplinkBytesPerSecond: nonNegative,
    model: id,
    modelVersion: z.string(),
    adapter: z.string().optional(),
    layers,
    role: z.enum(['mixed', 'prefill', 'decode', 'idle']),
  }),
  workspace: z.object({
    id,
    share: nonNegative,
    limits: z.object({
      requestsPerSecond: nonNegative,
      tokensPerSecond: nonNegative,
      concurrentRequests: nonNegative,
    }),
    tokenHashes: z.array(z.string()),
  }),
  service,
};

const kind = z.enum(Object.keys(objectSchemas) as [ObjectKind, ...ObjectKind[]]);

const put = z
  .object({ type: z.literal('put'), kind, key: z.string(), value: z.unknown() })
  .transform((change, context) => {
    const value = objectSchemas[change.kind].safeParse(change.value);
    if (value.success) return { ...change, value: value.data };
    context.addIssue({ code: 'custom', message: `${change.kind}: ${value.error.message}` });
    return z.NEVER;
  });

const remove = z.object({ type: z.literal('remove'), kind, key: z.string() });

/** Schema of one change. */
export const changeSchema = z.union([put, remove]);

/** Schema of a revision. */
export const revisionSchema = z.object({
  number: z.number().int().min(1),
  changeId: z.string().min(1),
  changes: z.array(changeSchema).max(MAX_CHANGES_PER_REVISION),
  operator: z.string(),
  reason: z.string(),
});

/** Schema of the head row's value. */
export const headSchema = z.object({
  revision: z.number().int().min(0),
  changeId: z.string(),
});
