/**
 * Starts a VM's daemon: binds its sockets, creates the node and its actor, and joins both to the
 * interpreters. Several daemons fit into one process.
 */

import { randomBytes, randomInt, randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { createHttpServer } from '../adapters/createHttpServer';
import { createPeerServer } from '../adapters/createPeerServer';
import { createMessageAuthenticator } from '../adapters/createMessageAuthenticator';
import { formatError } from '../adapters/formatError';
import { createRandom } from '../random/createRandom';
import type { Incarnation, Vm } from '../vms/vm';
import { answerPeer } from './answerPeer';
import { PLAN_TICK_MS } from './constants';
import { countWork } from './countWork';
import { createDrain } from './createDrain';
import { createHttpHost } from './createHttpHost';
import { createInterpreter } from './createInterpreter';
import { createLog } from './createLog';
import type { Log } from './createLog';
import { createNode, reduceNode } from './createNode';
import type { RouterNode } from './createNode';
import { createNodeActor } from './createNodeActor';
import type { NodeActor } from './createNodeActor';
import { createPorts } from './createPorts';
import { interpretFleet } from './interpretFleet';
import { interpretOperations } from './interpretOperations';
import { interpretPlans } from './interpretPlans';
import { interpretRouter } from './interpretRouter';
import { interpretShared } from './interpretShared';
import type { Ports } from './ports';
import { refuseFaulty } from './refuseFaulty';
import type { Settings } from './settings';
import type { Send } from './untimedEvent';

export interface DaemonOptions {
  readonly log?: Log;
  /** Seed of the randomness in decisions. */
  readonly seed?: number;
  /** Told where a confirmed plan makes this VM leave; the drain has started by then. */
  readonly onRetired?: (drained: Promise<void>) => void;
}

export interface Daemon {
  readonly vm: Vm;
  readonly send: Send;
  readonly state: () => RouterNode;
  /** Requests and calls in progress. */
  readonly countWork: () => number;
  /** Starts a drain, once; resolves when nothing is left and the VM may stop. */
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
 * @param options the log, a seed for repeatable runs, and who is told of a retirement
 */
export async function startDaemon(
  settings: Settings,
  options: DaemonOptions = {},
): Promise<Daemon> {
  const { seed = randomInt(SEEDS), log = createLog({ fields: { vm: settings.vm.id } }) } = options;
  const { onRetired = () => undefined } = options;
  const incarnation = Date.now();
  const createId = createIds(settings.vm.id, incarnation);
  const { ports, gossipAddress, close } = await createPorts(
    settings,
    incarnation,
    log,
    (...events) => {
      actor.send(...events);
    },
  );
  const drain = createDrain(ports, () => actor.state());
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
        onDrained: drain.finish,
      }),
      plans: interpretPlans(ports, {
        onDrainAsked: () => {
          onRetired(drain.start());
        },
      }),
    },
  });
  const actor = createActor(createNode(settings, incarnation), interpret, seed, ports);
  const peerServer = await createPeerServer({
    listen: settings.listen.peer,
    authenticator: createMessageAuthenticator(settings.fleet, settings.keys),
    answer: answerPeer({ incarnation, send: ports.send, waiting: ports.waiting, createId }),
  });
  const http = await createHttpServer(
    settings.listen.http,
    createHttpHost(settings, actor, ports, createId),
  );
  const addresses = { http: http.address, peer: peerServer.address, gossip: gossipAddress };
  const vm: Vm = { ...settings.vm, incarnation, addresses };
  const ticker = setInterval(() => {
    ports.send({ side: 'plans', event: { type: 'ticked', wallMs: Date.now(), id: randomUUID() } });
  }, PLAN_TICK_MS);
  ports.send({ side: 'fleet', event: { type: 'started', vm, seeds: settings.seeds } });
  log.write('info', 'listening', {
    http: addresses.http.port,
    peer: addresses.peer.port,
    gossip: addresses.gossip.port,
  });
  return {
    vm,
    send: ports.send,
    state: actor.state,
    countWork: () => countWork(ports.waiting, actor.state()),
    drain: drain.start,
    stop: async () => {
      clearInterval(ticker);
      drain.stop();
      actor.stop();
      peerServer.close();
      await http.close();
      await close();
    },
  };
}

/** Ids that no other VM and no other life of this one gives. */
function createIds(vm: string, incarnation: Incarnation): () => string {
  const prefix = `${vm}-${incarnation.toString(36)}-${randomBytes(2).toString('hex')}`;
  let given = 0;
  return () => {
    given += 1;
    return `${prefix}-${given.toString(36)}`;
  };
}

function createActor(
  initialState: RouterNode,
  interpret: Parameters<typeof createNodeActor<RouterNode>>[0]['interpret'],
  seed: number,
  { metrics, log, waiting, send }: Ports,
): NodeActor<RouterNode> {
  const random = createRandom(seed);
  return createNodeActor({
    reduce: reduceNode,
    initialState,
    interpret,
    now: () => performance.now(),
    seed: () => random.integer(SEEDS),
    onFault: (fault, cause) => {
      const { side, event } = cause;
      metrics.count('decision_faults', 1, { side, event: event.type });
      log.write('error', 'decision failed', { side, event: event.type, fault: formatError(fault) });
      refuseFaulty(cause, waiting, send);
    },
  });
}
