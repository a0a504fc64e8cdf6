/**
 * Several VMs' routers before one fleet of fake engines, in virtual time. Reports, suspects and shares
 * travel between the VMs with the lag that is asked for.
 */

import type { BackendServerId } from '../src/backendServers/backendServer';
import type { Configuration } from '../src/configuration/configuration';
import { hash32 } from '../src/hashing/hash32';
import type { Refusal } from '../src/outcomes/outcome';
import { createRouter } from '../src/requests/createRouter';
import { reduceRouter } from '../src/requests/reduceRouter';
import type { Request, RequestId } from '../src/requests/request';
import type { Router, RouterOptions } from '../src/requests/router';
import type {
  RouterEffect,
  RouterEvent,
  ServerHealth,
  WorkspaceUsage,
} from '../src/requests/routerMessage';
import type { TokenFrame } from '../src/requests/tokenFrame';
import { createEventQueue, type EventQueue } from './createEventQueue';
import { createFakeEngines, type FakeEngines } from './createFakeEngines';

export interface TestbedOptions {
  readonly vms: number;
  readonly seed: number;
  readonly router: Partial<RouterOptions>;
  /** Age at which load reports reach the VMs, milliseconds. */
  readonly reportLagMs: number;
  /** Time between two rounds of reports, milliseconds. */
  readonly reportEveryMs: number;
  /** Time that digests and suspects take between VMs, milliseconds. */
  readonly gossipMs: number;
  readonly onDeliver: (request: RequestId, frame: TokenFrame, atMs: number) => void;
  readonly onFinish: (request: RequestId, attempts: number, atMs: number) => void;
  readonly onRefuse: (request: RequestId, refusal: Refusal, atMs: number) => void;
}

export interface Testbed {
  readonly queue: EventQueue;
  readonly engines: FakeEngines;
  /** Sends a request to a VM. */
  readonly send: (vm: number, request: Request) => void;
  readonly tell: (vm: number, event: EventBody) => void;
  /** Tells every VM which engines may get new work. */
  readonly tellHealth: (down: ReadonlySet<BackendServerId>) => void;
  readonly routerOf: (vm: number) => Router;
  readonly counters: ReadonlyMap<string, number>;
}

type EventBody = RouterEvent extends infer Event
  ? Event extends RouterEvent
    ? Omit<Event, 'atMs' | 'seed'>
    : never
  : never;

const DEFAULTS: TestbedOptions = {
  vms: 8,
  seed: 1,
  router: {},
  reportLagMs: 500,
  reportEveryMs: 200,
  gossipMs: 300,
  onDeliver: () => undefined,
  onFinish: () => undefined,
  onRefuse: () => undefined,
};

/** Starts the routers with the configuration in force. */
export function createTestbed(
  configuration: Configuration,
  given: Partial<TestbedOptions> = {},
): Testbed {
  const options = { ...DEFAULTS, ...given };
  const queue = createEventQueue();
  const engines = createFakeEngines(configuration, queue);
  const routers = Array.from({ length: options.vms }, () => createRouter(options.router));
  const timers = routers.map(() => new Map<string, number>());
  const uses = routers.map((): readonly WorkspaceUsage[] => []);
  const counters = new Map<string, number>();
  let draws = 0;

  const tell = (vm: number, body: EventBody): void => {
    const router = routers[vm];
    if (router === undefined) throw new RangeError(`No VM ${vm}`);
    draws += 1;
    const seed = hash32(`${draws}`, options.seed);
    const event = { ...body, atMs: queue.now(), seed } as RouterEvent;
    const { state, effects } = reduceRouter(router, event);
    routers[vm] = state;
    for (const effect of effects) carryOut(vm, effect);
  };

  type Carriers = {
    readonly [Type in RouterEffect['type']]?: (
      vm: number,
      effect: Extract<RouterEffect, { readonly type: Type }>,
    ) => void;
  };

  const carriers: Carriers = {
    'open-stream': (vm, { order }) => {
      const { request, attempt } = order;
      engines.open(order, (word) => {
        if (word.type === 'message') {
          tell(vm, { type: 'stream-message', request, attempt, message: word.message });
        } else {
          tell(vm, { type: 'stream-closed', request, attempt, cause: word.cause, detail: '' });
        }
      });
    },
    'cancel-stream': (_vm, effect) => {
      engines.cancel(effect);
    },
    'find-kv': (vm, { request, attempt, stages }) => {
      engines.findKv(request, stages, (kvExports, answered) => {
        tell(vm, { type: 'kv-found', request, attempt, exports: kvExports, answered });
      });
    },
    deliver: (_vm, { request, frame }) => {
      options.onDeliver(request, frame, queue.now());
    },
    finish: (_vm, { request, attempts }) => {
      options.onFinish(request, attempts, queue.now());
    },
    refuse: (_vm, { request, refusal }) => {
      options.onRefuse(request, refusal, queue.now());
    },
    'set-timer': (vm, { timer, afterMs }) => {
      const dueAtMs = queue.now() + afterMs;
      timers[vm]?.set(timer, dueAtMs);
      queue.after(afterMs, () => {
        if (timers[vm]?.get(timer) !== dueAtMs) return;
        timers[vm].delete(timer);
        tell(vm, { type: 'timer-fired', timer });
      });
    },
    'clear-timer': (vm, { timer }) => {
      timers[vm]?.delete(timer);
    },
    count: (_vm, { counter, by, labels = {} }) => {
      const key = [counter, ...Object.values(labels)].join('/');
      counters.set(key, (counters.get(key) ?? 0) + by);
    },
    'share-suspects': (from, { suspects }) => {
      queue.after(options.gossipMs, () => {
        for (const vm of routers.keys()) {
          if (vm !== from) tell(vm, { type: 'suspects-learned', suspects });
        }
      });
    },
    'share-use': (vm, effect) => {
      queue.after(options.gossipMs, () => {
        uses[vm] = effect.usage;
      });
    },
  };

  const carryOut = (vm: number, effect: RouterEffect): void => {
    const carrier = carriers[effect.type] as
      ((vm: number, effect: RouterEffect) => void) | undefined;
    carrier?.(vm, effect);
  };

  const report = (): void => {
    const reports = [...configuration.engine.keys()]
      .filter((engine) => engines.isLive(engine))
      .map((engine) => engines.loadOf(engine));
    queue.after(options.reportLagMs, () => {
      for (const vm of routers.keys()) {
        for (const item of reports) {
          tell(vm, { type: 'load-reported', report: item, ageMs: options.reportLagMs });
        }
        tell(vm, { type: 'use-learned', usage: sumOthers(uses, vm), acceptingVms: options.vms });
      }
    });
    queue.after(options.reportEveryMs, report);
  };

  for (const vm of routers.keys()) tell(vm, { type: 'configuration-changed', configuration });
  for (const vm of routers.keys()) {
    tell(vm, { type: 'use-learned', usage: [], acceptingVms: options.vms });
  }
  report();

  return {
    queue,
    engines,
    send: (vm, request) => {
      tell(vm, { type: 'request-received', request });
    },
    tell,
    tellHealth: (down) => {
      const servers = [...configuration.engine.keys()].map((server): ServerHealth => {
        const isUsable = !down.has(server);
        return { server, isUsable, weight: isUsable ? 1 : 0 };
      });
      for (const vm of routers.keys()) tell(vm, { type: 'servers-changed', servers });
    },
    routerOf: (vm) => {
      const router = routers[vm];
      if (router === undefined) throw new RangeError(`No VM ${vm}`);
      return router;
    },
    counters,
  };
}

function sumOthers(
  uses: readonly (readonly WorkspaceUsage[])[],
  self: number,
): readonly WorkspaceUsage[] {
  const sums = new Map<string, WorkspaceUsage>();
  for (const use of uses.flatMap((items, vm) => (vm === self ? [] : items))) {
    const sum = sums.get(use.workspace);
    sums.set(use.workspace, sum === undefined ? use : addUse(sum, use));
  }
  return [...sums.values()];
}

function addUse(a: WorkspaceUsage, b: WorkspaceUsage): WorkspaceUsage {
  return {
    workspace: a.workspace,
    tokensPerSecond: a.tokensPerSecond + b.tokensPerSecond,
    requestsPerSecond: a.requestsPerSecond + b.requestsPerSecond,
    running: a.running + b.running,
    ageMs: Math.max(a.ageMs, b.ageMs),
  };
}
