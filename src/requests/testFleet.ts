/** A small fleet and helpers for tests of the router component. */

import { createConfiguration } from '../configuration/createConfiguration';
import type { Configuration } from '../configuration/configuration';
import type { Engine } from '../engines/engine';
import { createRouter } from './createRouter';
import { reduceRouter } from './reduceRouter';
import type { Request } from './request';
import type { Router, RouterOptions } from './router';
import type { RouterEffect, RouterEvent } from './routerMessage';
import type { StreamOrder } from '../contracts/engineContract';
import type { TokenFrame } from './tokenFrame';

/** Creates a model of twelve layers in three ranges, with one engine per range and failure domain. */
export function testConfiguration(): Configuration {
  const engines = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map(testEngine);
  return {
    ...createConfiguration(),
    revision: 1,
    model: new Map([
      [
        'm',
        {
          id: 'm',
          layers: 12,
          bytesPerLayer: 1e9,
          kvBytesPerTokenLayer: 1000,
          activationBytes: 8192,
        },
      ],
    ]),
    acceleratorKind: new Map([
      [
        'k',
        {
          id: 'k',
          memoryBytes: 40e9,
          decodeBaseMicros: 400,
          decodeMicrosPerSequence: 10,
          prefillMicrosPerToken: 5,
          maxBatch: 32,
        },
      ],
    ]),
    engine: new Map(engines.map((engine) => [engine.id, engine])),
    backendServer: new Map(
      engines.map(({ id }, index) => [
        id,
        {
          id,
          kind: 'engine',
          failureDomain: id.endsWith('1') ? 'z1' : 'z2',
          address: { host: '127.0.0.1', port: 9000 + index },
          checksFencing: true,
          leaving: false,
        },
      ]),
    ),
    failureDomain: new Map(['z1', 'z2'].map((id) => [id, { id, region: 'r' }])),
    link: new Map(
      [
        ['z1', 'z2'],
        ['z2', 'z1'],
      ].map(([from = '', to = '']) => [
        `${from}/${to}`,
        { from, to, bytesPerSecond: 1e9, delayMs: 0.5 },
      ]),
    ),
    workspace: new Map(
      ['shops', 'schools'].map((id) => [
        id,
        {
          id,
          share: 1,
          limits: { requestsPerSecond: 1000, tokensPerSecond: 1e6, concurrentRequests: 1000 },
          tokenHashes: [],
        },
      ]),
    ),
    service: new Map(
      ['shops', 'schools'].map((workspace) => [
        `${workspace}/drafter`,
        {
          kind: 'model',
          id: 'drafter',
          workspace,
          model: 'm',
          firstTokenTargetMs: 1300,
          tokenIntervalTargetMs: 200,
          maxTokens: 4096,
        },
      ]),
    ),
  };
}

function testEngine(id: string): Engine {
  const from = { a: 0, b: 4, c: 8 }[id.slice(0, 1)] ?? 0;
  return {
    id,
    acceleratorKind: 'k',
    accelerators: 8,
    uplinkBytesPerSecond: 1e9,
    model: 'm',
    modelVersion: '1',
    layers: { from, to: from + 4 },
    role: 'mixed',
  };
}

/** Creates a request with three prompt tokens and at most eight answer tokens. */
export function testRequest(change: Partial<Request> = {}): Request {
  return {
    id: 'r1',
    workspace: 'shops',
    service: 'drafter',
    prompt: [1, 2, 3],
    maxTokens: 8,
    priority: 'interactive',
    receivedAtMs: 0,
    deadlineAtMs: 5000,
    fingerprint: 'f1',
    ...change,
  };
}

/** Sends events to a router and records its effects. */
export interface Driver {
  readonly router: () => Router;
  readonly send: (event: RouterEvent) => readonly RouterEffect[];
  /** All effects since the start. */
  readonly effects: readonly RouterEffect[];
  /** Returns the order of the last opened stream. */
  readonly lastOrder: () => StreamOrder;
}

/** Creates a router for the small fleet. */
export function driveRouter(
  configuration: Configuration = testConfiguration(),
  options: Partial<RouterOptions> = {},
): Driver {
  let state = createRouter(options);
  const effects: RouterEffect[] = [];
  const send = (event: RouterEvent): readonly RouterEffect[] => {
    const decision = reduceRouter(state, event);
    state = decision.state;
    effects.push(...decision.effects);
    return decision.effects;
  };
  send({ type: 'configuration-changed', configuration, atMs: 0, seed: 1 });
  const lastOrder = (): StreamOrder => {
    const opened = effects.findLast((effect) => effect.type === 'open-stream');
    if (opened === undefined) throw new Error('No stream was opened');
    return opened.order;
  };
  return { router: () => state, send, effects, lastOrder };
}

/** Creates a valid frame for a position of an order's stream. */
export function frameOf(order: StreamOrder, position: number): TokenFrame {
  const { request, workspace, attempt } = order;
  return {
    request,
    workspace,
    attempt,
    position,
    token: 100 + position,
    text: `t${position}`,
    receipts: order.route.map(({ engine, layers }) => ({ engine, layers, attempt, position })),
  };
}

/** Creates the event that carries a valid frame on an order's stream. */
export function frameEvent(order: StreamOrder, position: number, atMs: number): RouterEvent {
  return {
    type: 'stream-message',
    request: order.request,
    attempt: order.attempt,
    message: { type: 'frame', frame: frameOf(order, position) },
    atMs,
    seed: position,
  };
}
