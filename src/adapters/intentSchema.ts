/** Schema of operator intents. Unknown keys are rejected, and every error is reported. */

import { z } from 'zod';
import type { BackendServer } from '../backendServers/backendServer';
import type { MethodContract } from '../contracts/methodContract';
import type { AcceleratorKind, Engine, Model } from '../engines/engine';
import type { FailureDomain } from '../failureDomains/failureDomain';
import type { Link } from '../links/link';
import type { Intent } from '../plans/intent';
import type { ModelService, PlainService } from '../services/service';
import type { Workspace, WorkspaceLimits } from '../workspaces/workspace';
import type { Shape } from './shape';

const id = z.string().min(1).max(128);
const nonNegativeNumber = z.number().nonnegative();
const nonNegativeInteger = z.int().nonnegative();
const address = z.strictObject({ host: z.string(), port: z.int().min(1).max(65_535) });
const layers = z
  .strictObject({ from: nonNegativeInteger, to: nonNegativeInteger })
  .refine(({ from, to }) => from < to, { error: 'layers need from < to' });
const role = z.enum(['mixed', 'prefill', 'decode', 'idle']);

const failureDomain = z.strictObject({ id, region: id } satisfies Shape<FailureDomain>);

const link = z.strictObject({
  from: id,
  to: id,
  bytesPerSecond: nonNegativeNumber,
  delayMs: nonNegativeNumber,
} satisfies Shape<Link>);

const acceleratorKind = z.strictObject({
  id,
  memoryBytes: nonNegativeNumber,
  decodeBaseMicros: nonNegativeNumber,
  decodeMicrosPerSequence: nonNegativeNumber,
  prefillMicrosPerToken: nonNegativeNumber,
  maxBatch: z.int().positive(),
} satisfies Shape<AcceleratorKind>);

const model = z.strictObject({
  id,
  layers: z.int().positive(),
  bytesPerLayer: nonNegativeNumber,
  kvBytesPerTokenLayer: nonNegativeNumber,
  activationBytes: nonNegativeNumber,
} satisfies Shape<Model>);

const backendServer = z.strictObject({
  id,
  kind: z.enum(['engine', 'plain']),
  failureDomain: id,
  address,
  checksFencing: z.boolean(),
  leaving: z.boolean(),
} satisfies Shape<BackendServer>);

const engine = z.strictObject({
  id,
  acceleratorKind: id,
  accelerators: z.int().positive(),
  uplinkBytesPerSecond: nonNegativeNumber,
  model: id,
  modelVersion: z.string(),
  adapter: z.string().exactOptional(),
  layers,
  role,
} satisfies Shape<Engine>);

const workspace = z.strictObject({
  id,
  share: z.number().positive(),
  limits: z.strictObject({
    requestsPerSecond: nonNegativeNumber,
    tokensPerSecond: nonNegativeNumber,
    concurrentRequests: nonNegativeNumber,
  } satisfies Shape<WorkspaceLimits>),
  tokenHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'accepted is a SHA-256 in hexadecimal')),
} satisfies Shape<Workspace>);

const contractSchema = z.strictObject({
  method: z.string().regex(/^[A-Z]+$/, 'accepted is an upper-case HTTP method'),
  path: z.string().startsWith('/'),
  isIdempotent: z.boolean(),
  honoursIdempotencyKey: z.boolean(),
  statusPath: z.string().startsWith('/').exactOptional(),
  timeoutMs: z.int().positive(),
  maxBodyBytes: nonNegativeInteger,
} satisfies Shape<MethodContract>);

const service = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    id,
    workspace: id,
    model: id,
    firstTokenTargetMs: z.number().positive(),
    tokenIntervalTargetMs: z.number().positive(),
    neededTokensPerSecond: nonNegativeNumber.exactOptional(),
    maxTokens: z.int().positive(),
  } satisfies Shape<ModelService>),
  z.strictObject({
    kind: z.literal('plain'),
    id,
    workspace: id,
    backendServers: z.array(id),
    contracts: z.array(contractSchema),
  } satisfies Shape<PlainService>),
]);

const createPutSchema = <Kind extends string, Value extends z.ZodType>(kind: Kind, value: Value) =>
  z.strictObject({ type: z.literal('put'), kind: z.literal(kind), key: id, value });

const KINDS = [
  'failureDomain',
  'link',
  'acceleratorKind',
  'model',
  'backendServer',
  'engine',
  'workspace',
  'service',
] as const;

const changeSchema = z.union([
  createPutSchema('failureDomain', failureDomain),
  createPutSchema('link', link),
  createPutSchema('acceleratorKind', acceleratorKind),
  createPutSchema('model', model),
  createPutSchema('backendServer', backendServer),
  createPutSchema('engine', engine),
  createPutSchema('workspace', workspace),
  createPutSchema('service', service),
  z.strictObject({ type: z.literal('remove'), kind: z.enum(KINDS), key: id }),
]);

/** Schema of an operator's intent. */
export const intentSchema: z.ZodType<Intent> = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('put-service'), service }),
  z.strictObject({ type: z.literal('retire-service'), workspace: id, service: id }),
  z.strictObject({
    type: z.literal('move-model'),
    model: id,
    from: z.array(id),
    to: z.array(id).min(1),
  }),
  z.strictObject({
    type: z.literal('add-backend-server'),
    server: backendServer,
    engine: engine.exactOptional(),
  }),
  z.strictObject({ type: z.literal('retire-backend-server'), server: id }),
  z.strictObject({ type: z.literal('retire-vm'), vm: id }),
  z.strictObject({ type: z.literal('put-workspace'), workspace }),
  z.strictObject({
    type: z.literal('set-engine'),
    engine: id,
    role: role.exactOptional(),
    modelVersion: z.string().exactOptional(),
    adapter: z.string().exactOptional(),
  }),
  z.strictObject({ type: z.literal('describe-site'), changes: z.array(changeSchema).min(1) }),
]);
