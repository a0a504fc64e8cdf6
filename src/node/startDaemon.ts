/**
 * Starts a VM's daemon: binds its sockets, creates the node and its actor, and connects them to the
 * effect handlers. Several daemons can run in one process.
 */

import { randomBytes, randomInt, randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { createHttpServer } from '../adapters/createHttpServer';
import { createPeerServer } from '../adapters/createPeerServer';
import { createMessageAuthenticator } from '../adapters/createMessageAuthenticator';
import { formatError } from '../adapters/formatError';
import { createRandom } from '../random/createRandom';
import type { Incarnation, Vm } from '../vms/vm';
import { createPeerRequestHandler } from './createPeerRequestHandler';
import { PLAN_TICK_INTERVAL_MS } from './constants';
import { countWork } from './countWork';
import { createDrain } from './createDrain';
import { createHttpHost } from './createHttpHost';
import { createEffectInterpreter } from './createEffectInterpreter';
import { createLog } from './createLog';
import type { Log } from './createLog';
import { createNodeState, reduceNode } from './createNodeState';
import type { NodeState } from './createNodeState';
import { createNodeActor } from './createNodeActor';
import type { NodeActor } from './createNodeActor';
import { createPorts } from './createPorts';
import { createFleetEffectHandlers } from './createFleetEffectHandlers';
import { createOperationEffectHandlers } from './createOperationEffectHandlers';
import { createPlanEffectHandlers } from './createPlanEffectHandlers';
import { createRouterEffectHandlers } from './createRouterEffectHandlers';
import { createSharedEffectHandlers } from './createSharedEffectHandlers';
import type { Ports } from './ports';
import { refuseFailedEvent } from './refuseFailedEvent';
import type { Settings } from './settings';
import type { Send } from './untimedEvent';

export interface DaemonOptions {
  readonly log?: Log;
  /** Seed of the random numbers that decisions use. */
  readonly seed?: number;
  /** Called when a confirmed plan retires this VM, after the drain has started. */
  readonly onRetired?: (drained: Promise<void>) => void;
}

export interface Daemon {
  readonly vm: Vm;
  readonly send: Send;
  readonly state: () => NodeState;
  /** Requests and calls in progress. */
  readonly countWork: () => number;
  /** Starts the drain unless it has started; resolves when no work is left and the VM may stop. */
  readonly drain: () => Promise<void>;
  /** Stops the daemon without waiting for work in progress. */
  readonly stop: () => Promise<void>;
}

/** One past the largest seed of an event, 2^32. */
const SEED_RANGE = 0x1_0000_0000;

/**
 * Starts a daemon.
 *
 * @param settings validated settings
 * @param options the log, a seed for repeatable runs, and the callback for a retirement
 */
export async function startDaemon(
  settings: Settings,
  options: DaemonOptions = {},
): Promise<Daemon> {
  const { seed = randomInt(SEED_RANGE), log = createLog({ fields: { vm: settings.vm.id } }) } =
    options;
  const { onRetired = () => undefined } = options;
  const incarnation = Date.now();
  const createId = createIdGenerator(settings.vm.id, incarnation);
  const {
    ports,
    gossipAddress,
    close: closePorts,
  } = await createPorts(settings, incarnation, log, (...events) => {
    actor.send(...events);
  });
  const drain = createDrain(ports, () => actor.state());
  const interpret = createEffectInterpreter({
    shared: createSharedEffectHandlers(ports),
    components: {
      router: createRouterEffectHandlers(ports),
      operations: createOperationEffectHandlers(ports, {
        vm: settings.vm.id,
        onHandedOver: () => {
          log.write('info', 'outcomes of operations handed over');
        },
      }),
      fleet: createFleetEffectHandlers(ports, {
        vm: settings.vm.id,
        isEngine: (server) => actor.state().router.configuration.engine.has(server),
        onDrained: drain.finish,
      }),
      plans: createPlanEffectHandlers(ports, {
        onDrainRequested: () => {
          onRetired(drain.start());
        },
      }),
    },
  });
  const actor = createActor(createNodeState(settings, incarnation), interpret, seed, ports);
  const peerServer = await createPeerServer({
    listen: settings.listen.peer,
    authenticator: createMessageAuthenticator(settings.fleet, settings.keys),
    answer: createPeerRequestHandler({
      incarnation,
      send: ports.send,
      waiting: ports.waiting,
      createId,
    }),
  });
  const httpServer = await createHttpServer(
    settings.listen.http,
    createHttpHost(settings, actor, ports, createId),
  );
  const addresses = { http: httpServer.address, peer: peerServer.address, gossip: gossipAddress };
  const vm: Vm = { ...settings.vm, incarnation, addresses };
  const ticker = setInterval(() => {
    ports.send({ side: 'plans', event: { type: 'ticked', wallMs: Date.now(), id: randomUUID() } });
  }, PLAN_TICK_INTERVAL_MS);
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
      await httpServer.close();
      await closePorts();
    },
  };
}

/** Creates ids that no other VM and no other incarnation of this VM creates. */
function createIdGenerator(vm: string, incarnation: Incarnation): () => string {
  const prefix = `${vm}-${incarnation.toString(36)}-${randomBytes(2).toString('hex')}`;
  let issued = 0;
  return () => {
    issued += 1;
    return `${prefix}-${issued.toString(36)}`;
  };
}

function createActor(
  initialState: NodeState,
  interpret: Parameters<typeof createNodeActor<NodeState>>[0]['interpret'],
  seed: number,
  { metrics, log, waiting, send }: Ports,
): NodeActor<NodeState> {
  const random = createRandom(seed);
  return createNodeActor({
    reduce: reduceNode,
    initialState,
    interpret,
    now: () => performance.now(),
    seed: () => random.integer(SEED_RANGE),
    onFault: (fault, cause) => {
      const { side, event } = cause;
      metrics.count('decision_faults', 1, { side, event: event.type });
      log.write('error', 'decision failed', { side, event: event.type, fault: formatError(fault) });
      refuseFailedEvent(cause, waiting, send);
    },
  });
}
