/** A plain service that may fail at any point of a call, and logs each execution. */

import { findFailure } from './findFailure';
import type {
  CallFailure,
  OperationEffect,
  PlainAnswer,
} from '../../src/operations/operationMessage';
import { deliver } from './deliver';
import { drawDelay } from './network';
import type { SoakServer } from './soakServer';
import type { SoakNode, World } from './soakWorld';

type BackendCall = Extract<OperationEffect, { readonly type: 'call-backend' }>;

/** "A few seconds": after this a leaving backend server gets no new work, milliseconds. */
const LEAVING_BOUND_MS = 4000;

/** Share of calls to a server that meet a fault, usually and while it is flaky. */
const FAULT_SHARE = 0.04;
const FLAKY_SHARE = 0.5;

/** Time that an execution takes, mean, milliseconds. */
const WORK_MS = 20;

/** What may happen to a call, each as likely. */
const mishaps = [
  'reset-before',
  'reset-after',
  'late',
  'error-before',
  'error-after',
  'proved-refusal',
  'plain-503',
] as const;

/** Sends the call and answers the node. */
export function runPlainCall(world: World, node: SoakNode, effect: BackendCall): void {
  const server = world.servers.get(effect.server);
  if (server === undefined) return;
  noteLeaving(world, node, server, effect);
  const delay = drawDelay(world);
  if (world.nowMs + delay < server.downUntilMs) {
    world.schedule(delay, () => {
      fail(world, node, effect, 'unreachable');
    });
    return;
  }
  const share = world.nowMs < server.flakyUntilMs ? FLAKY_SHARE : FAULT_SHARE;
  const isFaulty = world.random.next() < share;
  const happen = isFaulty ? mishapTable[world.random.pick(mishaps)] : serve;
  happen(world, node, effect, server, delay + world.random.exponential(WORK_MS));
}

type Happen = (
  world: World,
  node: SoakNode,
  effect: BackendCall,
  server: SoakServer,
  afterMs: number,
) => void;

/** Runs the call and answers, unless the server dies first or the answer is late. */
function serve(
  world: World,
  node: SoakNode,
  effect: BackendCall,
  server: SoakServer,
  afterMs: number,
): void {
  const { life } = server;
  world.schedule(afterMs, () => {
    if (server.life !== life) {
      fail(world, node, effect, 'reset');
      return;
    }
    const answer = execute(world, server, effect);
    world.schedule(drawDelay(world), () => {
      answerNode(world, node, effect, answer, false);
    });
  });
}

const mishapTable: Readonly<Record<(typeof mishaps)[number], Happen>> = {
  'reset-before': (world, node, effect, _server, afterMs) => {
    world.schedule(afterMs, () => {
      fail(world, node, effect, 'reset');
    });
  },
  'reset-after': (world, node, effect, server, afterMs) => {
    world.schedule(afterMs, () => {
      execute(world, server, effect);
      fail(world, node, effect, 'reset');
    });
  },
  late: (world, node, effect, server) => {
    world.schedule(effect.timeoutMs, () => {
      fail(world, node, effect, 'timeout');
    });
    world.schedule(effect.timeoutMs + world.random.exponential(1000), () => {
      execute(world, server, effect);
    });
  },
  'error-before': (world, node, effect, _server, afterMs) => {
    world.schedule(afterMs, () => {
      answerNode(world, node, effect, createAnswer(500, 'before'), false);
    });
  },
  'error-after': (world, node, effect, server, afterMs) => {
    world.schedule(afterMs, () => {
      execute(world, server, effect);
      answerNode(world, node, effect, createAnswer(500, 'after'), false);
    });
  },
  'proved-refusal': (world, node, effect, _server, afterMs) => {
    world.schedule(afterMs, () => {
      answerNode(world, node, effect, createAnswer(503, 'full'), true);
    });
  },
  'plain-503': (world, node, effect, server, afterMs) => {
    world.schedule(afterMs, () => {
      execute(world, server, effect);
      answerNode(world, node, effect, createAnswer(503, 'full'), false);
    });
  },
};

function noteLeaving(world: World, node: SoakNode, server: SoakServer, effect: BackendCall): void {
  const isLeaving =
    world.nowMs > server.leavingSinceMs + LEAVING_BOUND_MS && world.nowMs < server.leavingUntilMs;
  if (!isLeaving || effect.path.startsWith('/status/')) return;
  const sinceMs = Math.round(world.nowMs - server.leavingSinceMs);
  const detail = `${node.vm.id} sent ${effect.path} to ${server.id}, leaving for ${sinceMs} ms`;
  findFailure(world, 'lateDispatchToLeaving', detail);
}

/** What the service does with a call; each run of what must not repeat is logged. */
function execute(world: World, server: SoakServer, effect: BackendCall): PlainAnswer {
  const { path, method, body, key = '' } = effect;
  if (path.startsWith('/status/')) {
    const id = decodeURIComponent(path.slice('/status/'.length));
    return server.answers.get(id) ?? createAnswer(404, '');
  }
  if (method === 'GET') return createAnswer(200, path);
  const known = path === '/bookings' ? server.answers.get(key) : undefined;
  if (known !== undefined) return known;
  const answer = createAnswer(200, `${body} as ${world.runs.length} by ${server.id}`);
  server.answers.set(key, answer);
  world.runs.push({ server: server.id, key, body, answer });
  world.trace(`${server.id} ran ${path} ${body}`);
  return answer;
}

function createAnswer(status: number, body: string): PlainAnswer {
  return { status, contentType: 'text/plain', body };
}

function answerNode(
  world: World,
  node: SoakNode,
  { dispatch }: BackendCall,
  answer: PlainAnswer,
  notRun: boolean,
): void {
  const event = { type: 'backend-answered', dispatch, answer, notRun } as const;
  deliver(world, node, { side: 'operations', event });
}

function fail(world: World, node: SoakNode, { dispatch }: BackendCall, failure: CallFailure): void {
  const event = { type: 'backend-failed', dispatch, failure, detail: failure } as const;
  deliver(world, node, { side: 'operations', event });
}
