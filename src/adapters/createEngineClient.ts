/** Model engines over HTTP: streams, cancels, KV exports, orders and their state. */

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
import { connectionFailure } from './connectionFailure';
import {
  KV_ANSWER_MS,
  MAX_STREAM_LINE_BYTES,
  ORDER_TIMEOUT_MS,
  PROBE_TIMEOUT_MS,
} from './constants';
import { createLineSplitter } from './createLineSplitter';
import { errorText } from './errorText';
import {
  engineStateSchema,
  kvExportsSchema,
  loadReportSchema,
  orderResultSchema,
} from './engineSchemas';
import { origin } from './origin';
import { streamMessageSchema } from './streamMessageSchema';

/** How a stream ended; `unreachable` only where the connection was never made. */
export interface StreamClose {
  readonly cause: 'ended' | 'reset' | 'unreachable';
  readonly detail: string;
}

export interface StreamListener {
  /** Messages that arrived together, in order. */
  readonly onMessages: (messages: readonly StreamMessage[]) => void;
  /** Called once, after the last message; not after a cancel of our own. */
  readonly onClosed: (close: StreamClose) => void;
}

/** What reading an engine gave. */
export type EngineReading = Extract<PlanEvent, { readonly type: 'engine-read' }>['result'];

/** What the engines of a route said of a request's KV cache. */
export interface KvAnswer {
  readonly exports: readonly KvExport[];
  /** Engines that answered at all. */
  readonly answered: readonly BackendServerId[];
}

export interface EngineClient {
  /** Opens a stream and returns the function that drops it. */
  readonly openStream: (order: StreamOrder, listener: StreamListener) => () => void;
  readonly cancelStream: (
    request: string,
    attempt: number,
    route: readonly AddressedStage[],
  ) => Promise<void>;
  readonly findKv: (request: string, stages: readonly AddressedStage[]) => Promise<KvAnswer>;
  readonly order: (
    address: Address,
    order: EngineOrder,
  ) => Promise<OrderResult | { readonly type: 'unreachable' | 'lost' }>;
  /** Reads the state, with the work that its load report names; without it where that is missing. */
  readonly readState: (address: Address) => Promise<EngineReading>;
}

const stateAnswer = z.object({ state: engineStateSchema, fencing: z.number() });

/**
 * Creates a client for all engines.
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
      origin: origin(address),
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
          origin: origin(address),
          path,
          method: 'DELETE',
          signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
        });
        await reply.body.dump();
      });
      await Promise.allSettled(cancels);
    },
    findKv: async (request, stages) => {
      const answers = await Promise.allSettled(
        stages.map(({ address }) =>
          getJson(address, `/v1/kv/${encodeURIComponent(request)}`, KV_ANSWER_MS),
        ),
      );
      const checked = answers.map((answer) => kvExportsSchema.safeParse(valueOf(answer)));
      return {
        exports: checked.flatMap((item) => item.data?.exports ?? []),
        answered: stages.filter((_, index) => checked[index]?.success).map(({ engine }) => engine),
      };
    },
    order: async (address, order) => {
      try {
        const reply = await dispatcher.request({
          origin: origin(address),
          path: '/v1/orders',
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(order),
          signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
        });
        const checked = orderResultSchema.safeParse(await reply.body.json());
        return checked.success ? checked.data : { type: 'lost' };
      } catch (error) {
        return { type: connectionFailure(error) === 'unreachable' ? 'unreachable' : 'lost' };
      }
    },
    readState: async (address) => {
      const [state, load] = await Promise.allSettled([
        getJson(address, '/v1/state'),
        getJson(address, '/v1/load'),
      ]);
      const checked = stateAnswer.safeParse(valueOf(state));
      const report = loadReportSchema.safeParse(valueOf(load)).data;
      if (!checked.success) return { type: 'unreachable' };
      const work = report === undefined ? {} : { running: report.running + report.queued };
      return { type: 'state', ...checked.data, ...work };
    },
  };
}

function valueOf(settled: PromiseSettledResult<unknown>): unknown {
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
  const [first] = order.route;
  if (first === undefined) {
    close('unreachable', 'the route is empty');
    return;
  }
  try {
    const { body } = await dispatcher.request({
      origin: origin(first.address),
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
      const messages = lines.push(chunk as Uint8Array).map(readMessage);
      if (messages.length > 0 && !signal.aborted) listener.onMessages(messages);
    }
    const rest = lines.rest();
    if (rest !== '' && !signal.aborted) listener.onMessages([readMessage(rest)]);
    close('ended', '');
  } catch (error) {
    const cause = connectionFailure(error) === 'unreachable' ? 'unreachable' : 'reset';
    close(cause, errorText(error));
  }
}

function readMessage(line: string): StreamMessage {
  return streamMessageSchema.parse(JSON.parse(line));
}
