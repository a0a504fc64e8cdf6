/**
 * Starts a gateway: one process on a VM that serves callers' requests, gives callers the addresses of
 * VMs, and places layers while it is the executor. Its state comes from the store, its peers and the
 * backend servers.
 */

import { createCallerServer } from '../adapters/intake/createCallerServer';
import { createGateway } from '../adapters/gateway/createGateway';
import { openReplies } from '../adapters/gateway/openReplies';
import { createPeerGroup } from '../adapters/gateway/createPeerGroup';
import { createStreamWatch } from '../adapters/gateway/createStreamWatch';
import { dispatchPeerRequest } from '../adapters/gateway/dispatchPeerRequest';
import { followCatalog } from '../adapters/gateway/followCatalog';
import { followServers } from '../adapters/gateway/followServers';
import { shareReports } from '../adapters/gateway/shareReports';
import { trackIdleConnections } from '../adapters/gateway/trackIdleConnections';
import type { ClockReading } from '../catalog/confirmation';
import { checkReportedServers } from '../gateway/checkReportedServers';
import { createStartCheck } from '../gateway/createStartCheck';
import { createStoreHealth } from '../gateway/createStoreHealth';
import { createRetryBudgets } from '../gateway/createRetryBudgets';
import type { GatewayHost } from '../gateway/job';
import { chooseLongPollTimings } from '../peers/chooseLongPollTimings';
import type { LongPollTimings } from '../peers/chooseLongPollTimings';
import { choosePeer } from '../peers/choosePeer';
import { chooseAddresses } from '../peers/listLivePeers';
import type { PeerRecord } from '../peers/peer';
import { applyCallerLimits } from './applyCallerLimits';
import { createBackendView } from './createBackendView';
import { createGatewayMetrics } from './createGatewayMetrics';
import { createLoadControl } from './createLoadControl';
import { createOwnRecord } from './createOwnRecord';
import { createFollowContext } from './createFollowContext';
import { drainGateway } from './drainGateway';
import type { GatewayPlatform } from './gatewayPlatform';
import { listen } from './listen';
import { openAuxiliaryListeners } from './openAuxiliaryListeners';
import { openIntake } from './openIntake';
import { openGatewayLog } from './openGatewayLog';
import { readRetryLimits } from './readRetryLimits';
import { reloadSettings } from './reloadSettings';
import { startFleetWork } from './startFleetWork';
import type { GatewaySettings } from './gatewaySettings';

export interface GatewayDaemon {
  /** Stops accepting requests, lets running ones complete, and resolves when the process may exit. */
  readonly drain: () => Promise<void>;
  /** Reads the settings again; keeps the current ones if they cannot be read. */
  readonly reload: (read: () => GatewaySettings) => void;
}

/**
 * Share of the revocation time of a credential that may pass without a confirmation of the catalog.
 */
const MAX_UNCONFIRMED_SHARE = 0.85;

/** Validity of an address answer, milliseconds; a stopping VM still receives new callers that long. */
const ADDRESS_VALID_MS = 1_000;

/** Most addresses in an address answer. */
const MAX_ADDRESSES = 64;

/** Time between two runs of the periodic task, which checks placement and suspected servers, milliseconds. */
const TASK_INTERVAL_MS = 250;

/** Time after its start in which a VM probes engines before it uses them, milliseconds: some heartbeats. */
const RECENT_START_MS = 2_500;

/**
 * Time from the request to stop until new requests are refused, milliseconds: nearly three validities, since
 * callers may keep addresses longer than one.
 */
const REFUSAL_DELAY_MS = 2.9 * ADDRESS_VALID_MS;

const MS_PER_SECOND = 1_000;

/** Starts the gateway's listeners and follows the store. */
export function startGateway(initial: GatewaySettings, platform: GatewayPlatform): GatewayDaemon {
  let settings = initial;
  const { store, protocol, replyMemory } = platform;
  const now = (): number => performance.now();
  const metrics = createGatewayMetrics();
  const { count, observe } = metrics;
  metrics.gauge('reply_memory_bytes', 'Memory that replies hold.', replyMemory.heldBytes);
  const writeLog = openGatewayLog({ vm: settings.vm.name, metrics, now });
  const loadControl = createLoadControl({
    metrics,
    countPeers: () => ({
      all: peers.size() - 1,
      accepting: listReachingPeers().filter(({ vm }) => vm !== self.vm).length,
    }),
    now,
    log: writeLog,
    count,
  });
  const { lag, isShedding } = loadControl;
  const backend = createBackendView({
    vm: settings.vm.name,
    vms: () => peers.members(),
    hasReachingPeers: () => listReachingPeers().some(({ vm }) => vm !== self.vm),
    protocol,
    catalog: () => catalogFollower.current(),
    isLate: lag.isLate,
    now,
    log: writeLog,
    count,
  });
  const { registry } = backend;
  const self = createOwnRecord(settings);
  const startedAtMs = now();
  writeLog('started', { incarnation: self.incarnation, pid: process.pid });

  let stoppingSinceMs: number | undefined;
  const storeHealth = createStoreHealth(now, writeLog);
  const readClocks = (): ClockReading => ({ monotonicMs: now(), wallMs: Date.now() });
  const timings = (): LongPollTimings => chooseLongPollTimings(peers.size());
  const followContext = createFollowContext({
    store,
    replyMemory,
    vm: self.vm,
    relays: () => peers.relays(),
    // Its age decides whether requests are taken.
    isFollowedByAllRelays: (table) => table === platform.catalogTable,
    timings,
    health: storeHealth,
    now,
    clock: readClocks,
    log: writeLog,
    count,
  });
  const startCheck = createStartCheck(now);
  const catalogFollower = followCatalog({
    ...followContext.optionsFor(platform.catalogTable, () => timings().catalogWaitMs),
    decodeCatalog: platform.decodeCatalog,
    onCatalog: (catalog) => {
      applyCallerLimits(callerServer, catalog);
    },
    limitMs: () => settings.credentials.revoke_ms * MAX_UNCONFIRMED_SHARE,
    startCheck,
  });
  const isAccepting = (): boolean =>
    stoppingSinceMs === undefined &&
    !isShedding() &&
    catalogFollower.current() !== undefined &&
    catalogFollower.isConfirmed();
  const isClosing = (): boolean => now() - (stoppingSinceMs ?? Infinity) > REFUSAL_DELAY_MS;

  const peers = createPeerGroup({
    self,
    registry: backend.reportedRegistry,
    isAccepting,
    ...checkReportedServers(registry, backend.probes),
    onDatagram: (datagram) => {
      sharing.receive(datagram);
    },
    onStarted: () => {
      sharing.greet();
    },
    now,
    log: writeLog,
  });
  // Streams of other VMs use the same engine. The announcement reaches those VMs before they can detect
  // a pause of their own streams.
  registry.onSuspected(peers.announceSoon);
  const sharing = shareReports(backend, {
    vm: self.vm,
    peers,
    catalog: catalogFollower,
    startCheck,
    now,
  });
  /** VMs that accept callers and may reach the backend servers. */
  const listReachingPeers = (): readonly PeerRecord[] =>
    peers.live().filter(({ vm }) => !sharing.isPartitioned(vm));
  const host: GatewayHost = {
    ...backend,
    protocol,
    ...openReplies({ replyMemory, now }),
    retryBudgets: createRetryBudgets({
      limits: () => readRetryLimits(settings),
      now,
      vms: () => peers.size(),
    }),
    watch: createStreamWatch(registry, lag.isLate),
    isRecentlyStarted: () => now() - startedAtMs < RECENT_START_MS,
    vms: peers.size,
    vm: self.vm,
    choosePeer: (except) =>
      choosePeer(listReachingPeers(), { self: self.vm, except, random: Math.random() }),
    failureDomain: self.failureDomain,
    drainMs: settings.servers.drain_ms,
    now,
    random: Math.random,
    log: writeLog,
    count,
    observe,
  };
  const intake = openIntake({ vm: settings.vm, metrics, now });
  const gateway = createGateway({
    host,
    intake: intake.bodies,
    catalog: catalogFollower.current,
    isConfirmed: catalogFollower.isConfirmed,
    isClosing,
    isDraining: () => stoppingSinceMs !== undefined,
    hasPeers: () => peers.live().some(({ vm }) => vm !== self.vm),
    readDelayMs: loadControl.readDelayMs,
    workLimit: loadControl.workLimit,
  });
  followServers({
    ...followContext.optionsFor(platform.serverTable, () => timings().serverWaitMs),
    decodeServer: platform.decodeServer,
    registry,
  });
  const fleetWork = startFleetWork({
    self,
    backend,
    peers,
    followContext,
    timings,
    table: platform.ownTable,
    protocol,
    catalog: catalogFollower.current,
    storeHealth,
    listPlacers: listReachingPeers,
    isAccepting,
    isStopping: () => stoppingSinceMs !== undefined,
    isShedding,
    intervalMs: TASK_INTERVAL_MS,
    now,
    log: writeLog,
    count,
  });

  const callerServer = createCallerServer(gateway.handle);
  const idleConnections = trackIdleConnections(callerServer);
  const onFailure = (error: string): void => {
    writeLog('listener failed', { error });
  };
  listen(callerServer, settings.listen.callers, { onFailure });
  loadControl.start({ server: callerServer, address: settings.listen.callers });
  const tableServer = createCallerServer(dispatchPeerRequest(gateway, followContext.relay));
  listen(tableServer, settings.listen.tables, { onFailure });
  const auxiliaryServers = openAuxiliaryListeners({
    listen: settings.listen,
    platform,
    metrics,
    isReady: isAccepting,
    addressesFor: (failureDomain) => chooseAddresses(peers.live(), failureDomain, MAX_ADDRESSES),
    validMs: () => Math.min(ADDRESS_VALID_MS, settings.directory.max_validity_s * MS_PER_SECOND),
    onListenFailure: onFailure,
  });
  intake.limitServers({ callers: callerServer, peers: tableServer, auxiliary: auxiliaryServers });

  const drain = (): Promise<void> => {
    stoppingSinceMs = now();
    peers.announce();
    return drainGateway({
      gateway,
      isClosing,
      graceMs: settings.drain.grace_s * MS_PER_SECOND,
      closeIdle: idleConnections.close,
      release: fleetWork.release,
      close: () => {
        fleetWork.stop();
        loadControl.stop();
        sharing.close();
        peers.close();
        for (const server of [callerServer, tableServer, ...auxiliaryServers]) server.close();
      },
      now,
      log: writeLog,
    });
  };
  let draining: Promise<void> | undefined;

  return {
    reload: (read) => {
      settings = reloadSettings(settings, read, writeLog);
    },
    drain: () => {
      draining ??= drain();
      return draining;
    },
  };
}
