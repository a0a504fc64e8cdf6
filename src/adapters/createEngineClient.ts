/** HTTP client for model engines: streams, cancellation, KV exports, orders and engine state. */

import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type {
  AddressedStage,
  EngineOrder,
  KvExport,
  OrderResult,
  StreamMessage,
  StreamOrder,
} from '../contracts/engineContract';
import type { PlanEvent } from '../plans/planMessage';
import type { BackendServerId } from '../backendServers/backendServer';
import type { Address } from '../vms/vm';
import { classifyConnectionFailure } from './classifyConnectionFailure';
import {
  KV_LOOKUP_TIMEOUT_MS,
  MAX_STREAM_LINE_BYTES,
  ORDER_TIMEOUT_MS,
  PROBE_TIMEOUT_MS,
} from './constants';
import { createLineSplitter } from './createLineSplitter';
import {
  engineStateSchema,
  kvExportsSchema,
  loadReportSchema,
  orderResultSchema,
} from './engineSchemas';
import { formatError } from './formatError';
import { formatOrigin } from './formatOrigin';
import { streamMessageSchema } from './streamMessageSchema';

/** How a stream ended; `unreachable` only if the connection was never established. */
export interface StreamClose {
  readonly cause: 'ended' | 'reset' | 'unreachable';
  readonly detail: string;
}

export interface StreamListener {
  /** Called with the messages of one received chunk, in order. */
  readonly onMessages: (messages: readonly StreamMessage[]) => void;
  /** Called once, after the last message; not called after the stream was dropped. */
  readonly onClosed: (close: StreamClose) => void;
}

/** Result of reading an engine's state. */
export type EngineReadResult = Extract<PlanEvent, { readonly type: 'engine-read' }>['result'];

/** KV exports of a request, as listed by the engines of its route. */
export interface KvLookupResult {
  readonly exports: readonly KvExport[];
  /** Engines that sent a valid answer. */
  readonly answered: readonly BackendServerId[];
}

export interface EngineClient {
  /** Opens a stream and returns a function that drops it. */
  readonly openStream: (order: StreamOrder, listener: StreamListener) => () => void;
  readonly cancelStream: (
    request: string,
    attempt: number,
    route: readonly AddressedStage[],
  ) => Promise<void>;
  readonly findKvExports: (
    request: string,
    stages: readonly AddressedStage[],
  ) => Promise<KvLookupResult>;
  /** Sends an order; the result is `lost` if the order was sent but no valid answer arrived. */
  readonly order: (
    address: Address,
    order: EngineOrder,
  ) => Promise<OrderResult | { readonly type: 'unreachable' | 'lost' }>;
  /** Reads the engine's state, with the running and queued work if its load report is available. */
  readonly readState: (address: Address) => Promise<EngineReadResult>;
}

const stateResponseSchema = z.object({ state: engineStateSchema, fencing: z.number() });

/**
 * Creates a client that serves all engines.
 *
 * @param dispatcher the HTTP client
 */
export function createEngineClient(dispatcher: Dispatcher): EngineClient {
  const getJson = async (
    address: Address,
    path: string,
    timeoutMs = PROBE_TIMEOUT_MS,
  ): Promise<unknown> => {
    const reply = await dispatcher.request({
      origin: formatOrigin(address),
      path,
      method: 'GET',
      signal: AbortSignal.timeout(timeoutMs),
    });
    return reply.body.json();
  };
  return {
    openStream: (order, listener) => {
      const abort = new AbortController();
      void runStream(dispatcher, order, listener, abort.signal);
      return () => {
        abort.abort();
      };
    },
    cancelStream: async (request, attempt, route) => {
      const path = `/v1/streams/${encodeURIComponent(request)}/${attempt}`;
      const cancels = route.map(async ({ address }) => {
        const reply = await dispatcher.request({
          origin: formatOrigin(address),
          path,
          method: 'DELETE',
          signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
        });
        await reply.body.dump();
      });
      await Promise.allSettled(cancels);
    },
    findKvExports: async (request, stages) => {
      const answers = await Promise.allSettled(
        stages.map(({ address }) =>
          getJson(address, `/v1/kv/${encodeURIComponent(request)}`, KV_LOOKUP_TIMEOUT_MS),
        ),
      );
      const checked = answers.map((answer) => kvExportsSchema.safeParse(getFulfilledValue(answer)));
      return {
        exports: checked.flatMap((item) => item.data?.exports ?? []),
        answered: stages.filter((_, index) => checked[index]?.success).map(({ engine }) => engine),
      };
    },
    order: async (address, order) => {
      try {
        const reply = await dispatcher.request({
          origin: formatOrigin(address),
          path: '/v1/orders',
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(order),
          signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
        });
        const checked = orderResultSchema.safeParse(await reply.body.json());
        return checked.success ? checked.data : { type: 'lost' };
      } catch (error) {
        return {
          type: classifyConnectionFailure(error) === 'unreachable' ? 'unreachable' : 'lost',
        };
      }
    },
    readState: async (address) => {
      const [state, load] = await Promise.allSettled([
        getJson(address, '/v1/state'),
        getJson(address, '/v1/load'),
      ]);
      const checked = stateResponseSchema.safeParse(getFulfilledValue(state));
      const report = loadReportSchema.safeParse(getFulfilledValue(load)).data;
      if (!checked.success) return { type: 'unreachable' };
      const work = report === undefined ? {} : { running: report.running + report.queued };
      return { type: 'state', ...checked.data, ...work };
    },
  };
}

function getFulfilledValue(settled: PromiseSettledResult<unknown>): unknown {
  return settled.status === 'fulfilled' ? settled.value : undefined;
}

async function runStream(
  dispatcher: Dispatcher,
  order: StreamOrder,
  listener: StreamListener,
  signal: AbortSignal,
): Promise<void> {
  const close = (cause: StreamClose['cause'], detail: string): void => {
    if (!signal.aborted) listener.onClosed({ cause, detail });
  };
  const [firstStage] = order.route;
  if (firstStage === undefined) {
    close('unreachable', 'the route is empty');
    return;
  }
  try {
    const { body } = await dispatcher.request({
      origin: formatOrigin(firstStage.address),
      path: '/v1/streams',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
      headersTimeout: 0,
      bodyTimeout: 0,
      signal,
    });
    const lines = createLineSplitter(MAX_STREAM_LINE_BYTES);
    for await (const chunk of body) {
      const messages = lines.push(chunk as Uint8Array).map(parseMessage);
      if (messages.length > 0 && !signal.aborted) listener.onMessages(messages);
    }
    const lastLine = lines.flush();
    if (lastLine !== '' && !signal.aborted) listener.onMessages([parseMessage(lastLine)]);
    close('ended', '');
  } catch (error) {
    const cause = classifyConnectionFailure(error) === 'unreachable' ? 'unreachable' : 'reset';
    close(cause, formatError(error));
  }
}

function parseMessage(line: string): StreamMessage {
  return streamMessageSchema.parse(JSON.parse(line));
}
