/** The periodic work of a gateway: checks of servers, this VM's record, and placement. */

import type { ContentKeeper } from '../adapters/gateway/createContentKeeper';
import type { ExecutorClaim } from '../adapters/gateway/createExecutorClaim';
import type { PeerGroup } from '../adapters/gateway/createPeerGroup';
import type { Placer } from '../adapters/gateway/createPlacer';
import type { StoreHealth } from '../gateway/createStoreHealth';
import type { PeerRecord } from '../peers/peer';
import type { BackendView } from './createBackendView';
import type { Membership } from './followMembership';

export interface GatewayTaskOptions {
  readonly self: PeerRecord;
  readonly backend: BackendView;
  readonly peers: PeerGroup;
  readonly membership: Membership;
  readonly executorClaim: ExecutorClaim;
  readonly placer: Placer;
  readonly contentKeeper: Pick<ContentKeeper, 'tick'>;
  readonly storeHealth: StoreHealth;
  /** VMs that may place layers: they accept callers and reach the engines. */
  readonly listPlacers: () => readonly PeerRecord[];
  readonly isAccepting: () => boolean;
  readonly isStopping: () => boolean;
  /** Whether this VM can't keep up and leaves callers to others. */
  readonly isShedding: () => boolean;
  /** Time between two runs, milliseconds. */
  readonly intervalMs: number;
}

/** Time between two probes of a suspected server by a VM whose relays probe it too, milliseconds. */
const RELAYED_RECHECK_INTERVAL_MS = 3_000;

/** Runs between two attempts to register (two seconds), to spare an unreachable store. */
const REGISTRATION_RETRY_RUNS = 8;

/** Runs between two removals of departed VMs (ten seconds); nothing depends on their removal. */
const CLEANUP_RUNS = 40;

/** @returns the function that runs the task once */
export function createGatewayTask(options: GatewayTaskOptions): () => void {
  const { self, backend, peers, membership, executorClaim, placer, storeHealth } = options;
  const { registry, probes, partition } = backend;
  /**
   * Relays probe suspected servers for their failure domain and report to its other VMs which servers
   * answer again; these VMs therefore probe less often.
   */
  const getRecheckIntervalMs = (): number => {
    const relays = peers.relays();
    const isRelayed = relays.length > 0 && !relays.some(({ vm }) => vm === self.vm);
    return isRelayed ? RELAYED_RECHECK_INTERVAL_MS : options.intervalMs;
  };
  partition.onChange((isPartitioned) => {
    if (isPartitioned) void executorClaim.release();
  });
  let runs = 0;
  let wasAccepting = false;
  let wasShedding = false;
  return () => {
    runs += 1;
    if (wasAccepting !== options.isAccepting()) peers.announce();
    wasAccepting = options.isAccepting();
    void partition.recheck();
    if (registry.suspicions().length > 0) probes.recheckSuspected(getRecheckIntervalMs());
    if (options.isStopping()) return;
    if (!membership.isRegistered() && runs % REGISTRATION_RETRY_RUNS === 0)
      void membership.register();
    if (partition.isPartitioned()) return;
    if (options.isShedding()) {
      // Orders that come late are out of date; another VM takes over.
      if (!wasShedding) void executorClaim.release();
      wasShedding = true;
      return;
    }
    wasShedding = false;
    if (executorClaim.tick(options.listPlacers()) && storeHealth.isReachable()) {
      placer.tick();
      options.contentKeeper.tick();
      if (runs % CLEANUP_RUNS === 0) void membership.removeDeparted();
    }
  };
}
