/** Schemas of the responses of backend servers, except streams. */

import { z } from 'zod';
import type {
  CacheEvent,
  EngineState,
  KvExport,
  LoadReport,
  OrderResult,
} from '../contracts/engineContract';
import type { Shape } from './shape';

const layers = z.object({ from: z.number(), to: z.number() });

/** Schema of an engine's state. */
export const engineStateSchema: z.ZodType<EngineState> = z.object({
  model: z.string(),
  modelVersion: z.string(),
  adapter: z.string().exactOptional(),
  layers,
  role: z.enum(['mixed', 'prefill', 'decode', 'idle']),
  leaving: z.boolean(),
} satisfies Shape<EngineState>);

/** Schema of the answer to an order. */
export const orderResultSchema: z.ZodType<OrderResult> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('done'), state: engineStateSchema }),
  z.object({ type: z.literal('fenced'), highest: z.number() }),
  z.object({ type: z.literal('expired') }),
  z.object({ type: z.literal('impossible'), detail: z.string() }),
]);

const kvExport: z.ZodType<KvExport> = z.object({
  engine: z.string(),
  address: z.object({ host: z.string(), port: z.number() }),
  request: z.string(),
  layers,
  tokens: z.number(),
} satisfies Shape<KvExport>);

/** Schema of the KV exports of one request. */
export const kvExportsSchema = z.object({ exports: z.array(kvExport) });

/** Schema of a backend server's health. */
export const healthSchema = z.object({
  state: z.enum(['live', 'leaving']),
  incarnation: z.string(),
});

/** Schema of an engine's load report. */
export const loadReportSchema: z.ZodType<LoadReport> = z.object({
  engine: z.string(),
  sequence: z.number(),
  running: z.number(),
  queued: z.number(),
  kvTokensUsed: z.number(),
  kvTokensTotal: z.number(),
  stepMicros: z.number(),
  leaving: z.boolean(),
} satisfies Shape<LoadReport>);

const cacheEvent: z.ZodType<CacheEvent> = z.object({
  engine: z.string(),
  sequence: z.number(),
  type: z.enum(['stored', 'evicted']),
  prefixHash: z.string(),
  tokens: z.number(),
} satisfies Shape<CacheEvent>);

/** Schema of the events of an engine's prefix cache. */
export const cacheEventsSchema = z.object({ events: z.array(cacheEvent) });
