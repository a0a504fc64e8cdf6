/** Checks on the shape of revisions that come from the table or from peers. */

import { z } from 'zod';
import { MAX_CHANGES_PER_REVISION } from './configurationConstants';
import type { ObjectKind } from './configuration';

const id = z.string().min(1).max(256);
const amount = z.number().nonnegative();
const address = z.object({ host: z.string(), port: z.number().int().min(0).max(65535) });
const layers = z.object({ from: z.number().int().min(0), to: z.number().int().min(0) });

const method = z.object({
  method: z.string(),
  path: z.string(),
  isIdempotent: z.boolean(),
  honoursIdempotencyKey: z.boolean(),
  statusPath: z.string().optional(),
  timeoutMs: amount,
  maxBodyBytes: amount,
});

const service = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('model'),
    id,
    workspace: id,
    model: id,
    firstTokenTargetMs: amount,
    tokenIntervalTargetMs: amount,
    neededTokensPerSecond: z.number().positive().optional(),
    maxTokens: amount,
  }),
  z.object({
    kind: z.literal('plain'),
    id,
    workspace: id,
    backendServers: z.array(id),
    contracts: z.array(method),
  }),
]);

/** The shape of each kind of object; fields that a newer version added are kept out. */
export const objectSchemas: Readonly<Record<ObjectKind, z.ZodType>> = {
  failureDomain: z.object({ id, region: id }),
  link: z.object({ from: id, to: id, bytesPerSecond: amount, delayMs: amount }),
  acceleratorKind: z.object({
    id,
    memoryBytes: amount,
    decodeBaseMicros: amount,
    decodeMicrosPerSequence: amount,
    prefillMicrosPerToken: amount,
    maxBatch: amount,
  }),
  model: z.object({
    id,
    layers: amount,
    bytesPerLayer: amount,
    kvBytesPerTokenLayer: amount,
    activationBytes: amount,
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
    accelerators: amount,
    uplinkBytesPerSecond: amount,
    model: id,
    modelVersion: z.string(),
    adapter: z.string().optional(),
    layers,
    role: z.enum(['mixed', 'prefill', 'decode', 'idle']),
  }),
  workspace: z.object({
    id,
    share: amount,
    limits: z.object({
      requestsPerSecond: amount,
      tokensPerSecond: amount,
      concurrentRequests: amount,
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

/** The shape of one change. */
export const changeSchema = z.union([put, remove]);

/** The shape of a revision. */
export const revisionSchema = z.object({
  number: z.number().int().min(1),
  changeId: z.string().min(1),
  changes: z.array(changeSchema).max(MAX_CHANGES_PER_REVISION),
  operator: z.string(),
  reason: z.string(),
});

/** The shape of the head row's value. */
export const headSchema = z.object({
  revision: z.number().int().min(0),
  changeId: z.string(),
});
