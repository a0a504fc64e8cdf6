/**
 * A stand-in model engine: serves streams by route, activations, load, cache events, KV exports,
 * state and orders as docs/CONTRACTS.md specifies. `POST /faults` injects faults; `GET /log` lists the
 * layer ranges that it ran, so a test can check them.
 */

import { randomUUID } from 'node:crypto';
import type { EngineOrder, StreamOrder } from '../../src/contracts/engineContract';
import { startServer, type Answer, type Exchange, type Server } from '../http/startServer';
import { createCacheLog } from './createCacheLog';
import { createOrderProcessor } from './createOrderProcessor';
import { createKvCache } from './createKvCache';
import {
  ENGINE_DEFAULTS,
  NO_ENGINE_FAULTS,
  type EngineFaults,
  type EngineSettings,
} from './engineSettings';
import { runStage, type StageInput } from './runStage';
import { runStream, type StreamHost } from './runStream';

/** Settings that are optional in EngineOptions. */
type DefaultedSetting = keyof typeof ENGINE_DEFAULTS | 'onCrash';

export type EngineOptions = Omit<EngineSettings, DefaultedSetting> &
  Partial<Pick<EngineSettings, DefaultedSetting>>;

/** One run of a layer range for one token. */
export interface EngineLogEntry {
  readonly request: string;
  readonly attempt: number;
  readonly position: number;
  readonly from: number;
  readonly to: number;
  /** Tokens of the prefix that were prefilled for this run. */
  readonly prefilled: number;
}

/** Most runs kept in the log. */
const MAX_LOG_ENTRIES = 100_000;

/**
 * Starts an engine.
 *
 * @param options its id, state, speed and listen address
 */
export function startEngine(options: EngineOptions): Promise<Server> {
  const settings: EngineSettings = {
    ...ENGINE_DEFAULTS,
    onCrash: () => process.exit(1),
    ...options,
  };
  const incarnation = randomUUID();
  const kv = createKvCache();
  const orders = createOrderProcessor(settings, kv.clear);
  const cacheLog = createCacheLog({
    engine: settings.id,
    lagMs: settings.cacheLagMs,
    loseEvery: settings.cacheLoseEvery,
  });
  const cancelled = new Set<string>();
  const log: EngineLogEntry[] = [];
  let faults = NO_ENGINE_FAULTS;
  let running = 0;
  let reports = 0;
  let report = { running: 0, atMs: 0 };

  const host: StreamHost = {
    get settings() {
      return { ...settings, state: orders.state() };
    },
    faults: () => faults,
    kv,
    isCancelled: (request, attempt) => cancelled.has(`${request}/${attempt}`),
    onRun: ({ request, attempt, position }, { layers }, prefilled) => {
      log.push({ request, attempt, position, from: layers.from, to: layers.to, prefilled });
      if (log.length > MAX_LOG_ENTRIES) log.shift();
    },
    consumeFrameFault: () => {
      if (faults.spoilFrames === 0) return false;
      faults = { ...faults, spoilFrames: faults.spoilFrames - 1 };
      return true;
    },
  };

  const openStream = async ({ body, response }: Exchange): Promise<Answer> => {
    const order = JSON.parse(body.toString()) as StreamOrder;
    const refuse = (reason: string): Answer => ({ status: 503, body: { type: 'refused', reason } });
    if (orders.state().leaving) return refuse('leaving');
    if (faults.overloaded || running >= settings.maxStreams) return refuse('overloaded');
    if (order.model !== orders.state().model) return refuse('wrong-layers');
    const prompt = String.fromCharCode(...order.prompt);
    if (faults.crashOnText !== '' && prompt.includes(faults.crashOnText)) settings.onCrash();
    const key = `${order.request}/${order.attempt}`;
    response.on('close', () => cancelled.add(key));
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    running += 1;
    cacheLog.store(order.prompt);
    await runStream(host, order, (message) => {
      if (!response.destroyed) response.write(`${JSON.stringify(message)}\n`);
      return !response.destroyed;
    });
    running -= 1;
    response.end();
    return undefined;
  };

  const runActivations = async ({ body }: Exchange): Promise<Answer> => {
    const input = JSON.parse(body.toString()) as StageInput;
    return { status: 200, body: await runStage(host, input) };
  };

  const readLoad = (): Answer => {
    if (Date.now() - report.atMs >= settings.reportLagMs) {
      report = { running, atMs: Date.now() };
      reports += 1;
    }
    return {
      status: 200,
      body: {
        engine: settings.id,
        sequence: reports,
        running: report.running,
        queued: 0,
        kvTokensUsed: kv.tokens(),
        kvTokensTotal: 1_000_000,
        stepMicros: settings.stepMs * 1000,
        leaving: orders.state().leaving,
      },
    };
  };

  const readKv = (request: string): Answer => {
    const entry = settings.exportsKv ? kv.get(request) : undefined;
    if (entry === undefined) return { status: 200, body: { exports: [] } };
    const address = { host: server.host, port: server.port };
    return {
      status: 200,
      body: { exports: [{ engine: settings.id, address, request, ...entry }] },
    };
  };

  const setFaults = ({ body }: Exchange): Answer => {
    faults = { ...faults, ...(JSON.parse(body.toString()) as Partial<EngineFaults>) };
    return { status: 200, body: faults };
  };

  const applyOrder = async ({ body }: Exchange): Promise<Answer> => {
    const order = JSON.parse(body.toString()) as EngineOrder;
    return { status: 200, body: await orders.apply(order) };
  };

  const handlers: Readonly<Record<string, (exchange: Exchange) => Answer | Promise<Answer>>> = {
    'POST /v1/streams': openStream,
    'POST /v1/activations': runActivations,
    'GET /v1/health': () => ({
      status: 200,
      body: { state: orders.state().leaving ? 'leaving' : 'live', incarnation },
    }),
    'GET /v1/load': readLoad,
    'GET /v1/cache-events': ({ query }) => ({
      status: 200,
      body: { events: cacheLog.after(Number(query.get('after') ?? 0)) },
    }),
    'GET /v1/state': () => ({
      status: 200,
      body: { state: orders.state(), fencing: orders.fencing() },
    }),
    'POST /v1/orders': applyOrder,
    'POST /v1/leave': () => {
      orders.markLeaving();
      return { status: 200, body: {} };
    },
    'POST /faults': setFaults,
    'GET /faults': () => ({ status: 200, body: faults }),
    'GET /log': () => ({ status: 200, body: { runs: log } }),
  };

  let server: Server = { host: '', port: 0, close: () => Promise.resolve() };
  const started = startServer({
    ...(options.host === undefined ? {} : { host: options.host }),
    ...(options.port === undefined ? {} : { port: options.port }),
    handler: (exchange) => {
      const { method, path } = exchange;
      const [, , collection, request, attempt] = path.split('/');
      if (method === 'DELETE' && collection === 'streams') {
        cancelled.add(`${request ?? ''}/${attempt ?? ''}`);
        return { status: 204 };
      }
      if (method === 'GET' && collection === 'kv') return readKv(request ?? '');
      const handle = handlers[`${method} ${path}`];
      return handle === undefined ? { status: 404 } : handle(exchange);
    },
  });
  return started.then((listening) => {
    server = listening;
    return listening;
  });
}
