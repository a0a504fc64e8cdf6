/**
 * The engines and links of a fleet in virtual time: streams by route, cancel, KV look-up, and the
 * faults that measurements bring about.
 */

import type { BackendServerId } from '../src/backendServers/backendServer';
import type { Configuration } from '../src/configuration/configuration';
import type {
  AddressedStage,
  KvExport,
  LoadReport,
  StreamMessage,
  StreamOrder,
} from '../src/contracts/engineContract';
import type { EventQueue } from './createEventQueue';
import { createNetwork } from './createNetwork';
import { prefillOf } from './prefillOf';
import { createFakeEngine, freeKv, giveWork, runStep, type FakeEngine } from './fakeEngine';

/** One-way delay between VMs and engines, milliseconds. */
export const VM_DELAY_MS = 0.3;

/** Time after which a KV look-up goes on without the engines that do not answer, milliseconds. */
const KV_ANSWER_MS = 40;

/** What a stream brings to the VM that opened it. */
export type StreamWord =
  | { readonly type: 'message'; readonly message: StreamMessage }
  | { readonly type: 'closed'; readonly cause: 'reset' | 'unreachable' };

interface Stream {
  readonly order: StreamOrder;
  readonly tell: (word: StreamWord) => void;
  isOver: boolean;
  position: number;
}

export interface FakeEngines {
  readonly open: (order: StreamOrder, tell: (word: StreamWord) => void) => void;
  readonly cancel: (order: Pick<StreamOrder, 'request' | 'attempt'>) => void;
  readonly findKv: (
    request: string,
    stages: readonly AddressedStage[],
    answer: (kvExports: readonly KvExport[], answered: readonly BackendServerId[]) => void,
  ) => void;
  readonly loadOf: (engine: BackendServerId) => LoadReport;
  /** `reset`: its connections break at once; `silent`: nothing more comes from it. */
  readonly crash: (engine: BackendServerId, how: 'reset' | 'silent') => void;
  readonly restart: (engine: BackendServerId) => void;
  /** The engine makes no step for a while, then goes on where it was. */
  readonly stall: (engine: BackendServerId, forMs: number) => void;
  readonly isLive: (engine: BackendServerId) => boolean;
  /** Prompt tokens run so far, as parts of a whole model's layers. */
  readonly prefilledTokens: () => number;
  /** Contents whose streams crash the engine that starts on them. */
  readonly poison: Set<string>;
  /** Crashes that poison brought about, by content. */
  readonly poisoned: Map<string, Set<BackendServerId>>;
}

/** Builds the engines of a configuration. */
export function createFakeEngines(configuration: Configuration, queue: EventQueue): FakeEngines {
  const fakes = new Map<BackendServerId, FakeEngine>();
  for (const engine of configuration.engine.values()) {
    const kind = configuration.acceleratorKind.get(engine.acceleratorKind);
    const model = configuration.model.get(engine.model);
    if (kind !== undefined && model !== undefined) {
      fakes.set(engine.id, createFakeEngine(engine, kind, model));
    }
  }
  const streams = new Map<string, Stream>();
  const poison = new Set<string>();
  const poisoned = new Map<string, Set<BackendServerId>>();

  const fakeOf = (engine: BackendServerId): FakeEngine => {
    const fake = fakes.get(engine);
    if (fake === undefined) throw new RangeError(`No engine ${engine}`);
    return fake;
  };
  const domainOf = (engine: BackendServerId): string =>
    configuration.backendServer.get(engine)?.failureDomain ?? '';

  const transfer = createNetwork(configuration, queue);

  const tell = (stream: Stream, word: StreamWord): void => {
    queue.after(VM_DELAY_MS, () => {
      stream.tell(word);
    });
  };

  const runStage = (stream: Stream, index: number, prefill: readonly number[]): void => {
    const stage = stream.order.route[index];
    if (stream.isOver || stage === undefined) return;
    const fake = fakeOf(stage.engine);
    if (fake.state === 'dead') return;
    const content = stream.order.prompt.join(',');
    if (poison.has(content) && index === 0) {
      poisoned.set(content, (poisoned.get(content) ?? new Set()).add(stage.engine));
      crash(stage.engine, 'reset');
      return;
    }
    const model = fake.model;
    const tokens = prefill[index] ?? 0;
    const work = {
      request: stream.order.request,
      layers: stage.layers,
      maxTokens: stream.order.prompt.length + stream.order.maxTokens,
      prefillLeft: tokens,
      isCancelled: () => stream.isOver,
      done: () => {
        const { prompt } = stream.order;
        fake.cached.set(stream.order.request, prompt.length + stream.position + 1);
        const next = stream.order.route[index + 1];
        if (next === undefined) {
          finishToken(stream);
          return;
        }
        const bytes = model.activationBytes * (tokens + 1);
        transfer(fake.engine, fakeOf(next.engine).engine, bytes, () => {
          runStage(stream, index + 1, prefill);
        });
      },
    };
    giveWork(fake, work, queue);
  };

  const finishToken = (stream: Stream): void => {
    if (stream.isOver) return;
    const { order, position } = stream;
    const { request, workspace, attempt, route } = order;
    const isLast = position + 1 >= order.maxTokens;
    const receipts = route.map(({ engine, layers }) => ({ engine, layers, attempt, position }));
    const frame = { request, workspace, attempt, position, token: position, text: '', receipts };
    const message: StreamMessage = {
      type: 'frame',
      frame: isLast ? { ...frame, finish: 'length' } : frame,
    };
    tell(stream, { type: 'message', message });
    stream.position += 1;
    if (isLast) endStream(stream);
    else {
      const last = route.at(-1);
      const first = route[0];
      if (last === undefined || first === undefined) return;
      const link = configuration.link.get(`${domainOf(last.engine)}/${domainOf(first.engine)}`);
      queue.after(link?.delayMs ?? 0.05, () => {
        runStage(stream, 0, []);
      });
    }
  };

  const endStream = (stream: Stream): void => {
    stream.isOver = true;
    streams.delete(keyOf(stream.order));
    for (const stage of stream.order.route) {
      const fake = fakeOf(stage.engine);
      freeKv(fake, stream.order.request);
      runStep(fake, queue);
    }
  };

  const open = (order: StreamOrder, teller: (word: StreamWord) => void): void => {
    const stream = { order, tell: teller, isOver: false, position: order.delivered.length };
    queue.after(VM_DELAY_MS, () => {
      const first = order.route[0];
      if (first === undefined || fakeOf(first.engine).state === 'dead') {
        tell(stream, { type: 'closed', cause: 'unreachable' });
        return;
      }
      streams.set(keyOf(order), stream);
      const dead = order.route.find((stage) => fakeOf(stage.engine).state === 'dead');
      if (dead !== undefined) failStream(stream, dead.engine);
      else runStage(stream, 0, prefillOf(order, fakeOf));
    });
  };

  const failStream = (stream: Stream, engine: BackendServerId): void => {
    const isFirst = stream.order.route[0]?.engine === engine;
    endStream(stream);
    if (isFirst) tell(stream, { type: 'closed', cause: 'reset' });
    else {
      const message = { type: 'stage-failed', engine, detail: 'connection lost' } as const;
      tell(stream, { type: 'message', message });
    }
  };

  const crash = (engine: BackendServerId, how: 'reset' | 'silent'): void => {
    const fake = fakeOf(engine);
    fake.state = 'dead';
    fake.life += 1;
    fake.isBusy = false;
    fake.waiting.splice(0);
    fake.held.clear();
    fake.heldBytes = 0;
    fake.cached.clear();
    if (how === 'silent') return;
    for (const stream of [...streams.values()]) {
      if (stream.order.route.some((stage) => stage.engine === engine)) failStream(stream, engine);
    }
  };

  return {
    open,
    cancel: (order) => {
      const stream = streams.get(keyOf(order));
      if (stream === undefined) return;
      queue.after(VM_DELAY_MS, () => {
        if (!stream.isOver) endStream(stream);
      });
    },
    findKv: (request, stages, answer) => {
      const answering = stages.filter((stage) => fakeOf(stage.engine).state === 'live');
      const kvExports = answering.flatMap((stage): readonly KvExport[] => {
        const tokens = fakeOf(stage.engine).cached.get(request);
        const { engine, address, layers } = stage;
        return tokens === undefined ? [] : [{ engine, address, request, layers, tokens }];
      });
      const isWhole = answering.length === stages.length;
      queue.after(isWhole ? 2 * VM_DELAY_MS : KV_ANSWER_MS, () => {
        answer(
          kvExports,
          answering.map((stage) => stage.engine),
        );
      });
    },
    loadOf: (engine) => {
      const fake = fakeOf(engine);
      fake.reports += 1;
      return {
        engine,
        sequence: fake.reports,
        running: fake.held.size,
        queued: 0,
        kvTokensUsed: 0,
        kvTokensTotal: 1,
        stepMicros: 0,
        leaving: false,
      };
    },
    crash,
    restart: (engine) => {
      fakeOf(engine).state = 'live';
    },
    stall: (engine, forMs) => {
      const fake = fakeOf(engine);
      fake.state = 'stalled';
      queue.after(forMs, () => {
        if (fake.state === 'stalled') fake.state = 'live';
        runStep(fake, queue);
      });
    },
    isLive: (engine) => fakeOf(engine).state === 'live',
    prefilledTokens: () => {
      let sum = 0;
      for (const fake of fakes.values()) sum += fake.prefilledLayerTokens / fake.model.layers;
      return sum;
    },
    poison,
    poisoned,
  };
}

function keyOf({ request, attempt }: Pick<StreamOrder, 'request' | 'attempt'>): string {
  return `${request}/${attempt}`;
}
