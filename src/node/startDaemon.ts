/**
 * Starts a VM's daemon: binds its sockets, creates the node and its actor, and joins both to the
 * interpreters. Several daemons fit into one process.
 */

import { randomBytes, randomInt } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { Agent } from 'undici';
import { CONNECT_TIMEOUT_MS, MAX_CONNECTIONS_PER_SERVER } from '../adapters/constants';
import { createEngineClient } from '../adapters/createEngineClient';
import { createGossipSocket } from '../adapters/createGossipSocket';
import { createHttpServer } from '../adapters/createHttpServer';
import { createMembershipClient } from '../adapters/createMembershipClient';
import { createPeerClient } from '../adapters/createPeerClient';
import { createPeerServer } from '../adapters/createPeerServer';
import { createPlainCaller } from '../adapters/createPlainCaller';
import { createSeal } from '../adapters/createSeal';
import { createServerProbe } from '../adapters/createServerProbe';
import { createTableClient } from '../adapters/createTableClient';
import { errorText } from '../adapters/errorText';
import { createRandom } from '../random/createRandom';
import type { Vm } from '../vms/vm';
import { answerPeer } from './answerPeer';
import { PLAN_TICK_MS, WORK_COUNT_MS } from './constants';
import { countWork } from './countWork';
import { createInterpreter } from './createInterpreter';
import { createLog } from './createLog';
import type { Log } from './createLog';
import { createMetrics } from './createMetrics';
import { createNode, reduceNode } from './createNode';
import type { RouterNode } from './createNode';
import { createNodeActor } from './createNodeActor';
import { createTimers } from './createTimers';
import { createWaiting } from './createWaiting';
import { interpretFleet } from './interpretFleet';
import { interpretOperations } from './interpretOperations';
import { interpretPlans } from './interpretPlans';
import { interpretRouter } from './interpretRouter';
import { interpretShared } from './interpretShared';
import type { Ports } from './ports';
import { refuseFaulty } from './refuseFaulty';
import type { Settings } from './settings';
import type { Send } from './untimedEvent';
import { viewNode } from './viewNode';

export interface DaemonOptions {
  readonly log?: Log;
  /** Seed of the randomness in decisions. */
  readonly seed?: number;
}

export interface Daemon {
  readonly vm: Vm;
  readonly send: Send;
  readonly state: () => RouterNode;
  /** Requests and calls in progress. */
  readonly countWork: () => number;
  /** Starts a drain; resolves when nothing is left and the VM may stop. */
  readonly drain: () => Promise<void>;
  /** Ends everything at once. */
  readonly stop: () => Promise<void>;
}

/** One past the largest seed of an event, 2^32. */
const SEEDS = 0x1_0000_0000;

/**
 * Starts a daemon.
 *
 * @param settings checked settings
 * @param options the log, and a seed for repeatable runs
 */
export async function startDaemon(
  settings: Settings,
  options: DaemonOptions = {},
): Promise<Daemon> {
  const { seed = randomInt(SEEDS), log = createLog({ fields: { vm: settings.vm.id } }) } = options;
  const incarnation = Date.now();
  const metrics = createMetrics();
  const waiting = createWaiting();
  const dispatcher = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    connections: MAX_CONNECTIONS_PER_SERVER,
  });
  const seal = createSeal(settings.keys);
  const random = createRandom(seed);
  let drained: () => void = () => undefined;

  // Sockets come before the actor, which holds events until it runs; `send` is set below.
  let send: Send = () => undefined;
  const gossip = await createGossipSocket({
    listen: settings.listen.gossip,
    seal,
    onDatagram: (from, body) => {
      send({ side: 'fleet', event: { type: 'datagram-received', from, body } });
    },
    onDropped: (reason) => {
      metrics.count('datagrams_dropped', 1, { reason });
    },
  });
  const timers = createTimers((side, timer) => {
    send({ side, event: { type: 'timer-fired', timer } });
  });
  const peers = createPeerClient(seal);
  const ports: Ports = {
    send: (...events) => {
      send(...events);
    },
    timers,
    metrics,
    log,
    waiting,
    gossip,
    peers,
    table: createTableClient({ url: settings.platform.table, dispatcher }),
    membership: createMembershipClient({ url: settings.platform.membership, dispatcher }),
    engines: createEngineClient(dispatcher),
    probe: createServerProbe(dispatcher),
    callPlain: createPlainCaller(dispatcher),
  };
  const interpret = createInterpreter({
    shared: interpretShared(ports),
    sides: {
      router: interpretRouter(ports),
      operations: interpretOperations(ports, {
        vm: settings.vm.id,
        onHandedOver: () => {
          log.write('info', 'outcomes of operations handed over');
        },
      }),
      fleet: interpretFleet(ports, {
        vm: settings.vm.id,
        isEngine: (server) => actor.state().router.configuration.engine.has(server),
        onDrained: () => {
          drained();
        },
      }),
      plans: interpretPlans(ports),
    },
  });
  const actor = createNodeActor({
    reduce: reduceNode,
    initialState: createNode(settings, incarnation),
    interpret,
    now: () => performance.now(),
    seed: () => random.integer(SEEDS),
    onFault: (fault, cause) => {
      const { side, event } = cause;
      metrics.count('decision_faults', 1, { side, event: event.type });
      log.write('error', 'decision failed', { side, event: event.type, fault: errorText(fault) });
      refuseFaulty(cause, waiting);
    },
  });
  ({ send } = actor);

  const idPrefix = `${settings.vm.id}-${incarnation.toString(36)}-${randomBytes(2).toString('hex')}`;
  let ids = 0;
  const createId = (): string => {
    ids += 1;
    return `${idPrefix}-${ids.toString(36)}`;
  };
  const peerServer = await createPeerServer({
    listen: settings.listen.peer,
    seal,
    answer: answerPeer({ incarnation, send, waiting, createId }),
  });
  const http = await createHttpServer(settings.listen.http, {
    send,
    waiting,
    createId,
    configuration: () => actor.state().router.configuration,
    limits: settings.limits,
    operators: settings.operators,
    now: () => performance.now(),
    count: (counter, labels) => {
      metrics.count(counter, 1, labels);
    },
    metrics: async () => ({ contentType: metrics.contentType, text: await metrics.text() }),
    readiness: () => {
      const { isAccepting, refusalReason } = actor.state().router;
      return { isReady: isAccepting, reason: refusalReason };
    },
    view: (name, argument) => viewNode(actor.state(), name, argument),
  });
  metrics.gauge('requests_running', 'Model requests in progress.', () => waiting.streams.size);
  metrics.gauge('calls_running', 'Calls to plain services in progress.', () =>
    waiting.calls.size(),
  );
  metrics.gauge(
    'configuration_revision',
    'Revision that this VM has applied.',
    () => actor.state().router.configuration.revision,
  );

  const vm: Vm = {
    ...settings.vm,
    incarnation,
    addresses: { http: http.address, peer: peerServer.address, gossip: gossip.address },
  };
  const ticker = setInterval(() => {
    send({ side: 'plans', event: { type: 'ticked', wallMs: Date.now(), id: createId() } });
  }, PLAN_TICK_MS);
  send({ side: 'fleet', event: { type: 'started', vm, seeds: settings.seeds } });
  log.write('info', 'listening', {
    http: http.address.port,
    peer: peerServer.address.port,
    gossip: gossip.address.port,
  });

  const stop = async (): Promise<void> => {
    clearInterval(ticker);
    clearInterval(counter);
    timers.clearAll();
    actor.stop();
    gossip.close();
    peers.close();
    peerServer.close();
    await http.close();
    await dispatcher.destroy();
  };
  let counter: NodeJS.Timeout | undefined;
  return {
    vm,
    send,
    state: actor.state,
    countWork: () => countWork(waiting, actor.state()),
    drain: () =>
      new Promise((resolve) => {
        drained = resolve;
        log.write('info', 'drain started', { running: countWork(waiting, actor.state()) });
        send(
          { side: 'fleet', event: { type: 'drain-started' } },
          { side: 'operations', event: { type: 'drain-started' } },
        );
        counter = setInterval(() => {
          const running = countWork(waiting, actor.state());
          send({ side: 'fleet', event: { type: 'work-counted', running } });
        }, WORK_COUNT_MS);
      }),
    stop,
  };
}
