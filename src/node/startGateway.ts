/**
 * Starts a gateway: one process on a VM that takes callers' requests, tells callers which VMs to use,
 * and places layers while it is the executor. Everything it knows comes from the store, its peers and
 * the backend servers.
 */

import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { createExecutorClaim } from '../adapters/gateway/createExecutorClaim';
import { createEventLog } from '../adapters/gateway/createEventLog';
import { createGateway } from '../adapters/gateway/createGateway';
import { createPeerGroup } from '../adapters/gateway/createPeerGroup';
import { createPlacer } from '../adapters/gateway/createPlacer';
import { createStreamWatch } from '../adapters/gateway/createStreamWatch';
import { followCatalog } from '../adapters/gateway/followCatalog';
import { followServers } from '../adapters/gateway/followServers';
import type { Catalog } from '../catalog/catalog';
import type { ClockReading } from '../catalog/confirmation';
import { createServerRegistry } from '../gateway/createServerRegistry';
import { createServerProbes } from '../gateway/createServerProbes';
import { createFirstEventDelays } from '../gateway/createFirstEventDelays';
import { createStoreHealth } from '../gateway/createStoreHealth';
import { createRetryBudgets } from '../gateway/createRetryBudgets';
import type { GatewayHost, LogFields } from '../gateway/job';
import { chooseLongPollTimings } from '../peers/chooseLongPollTimings';
import type { LongPollTimings } from '../peers/chooseLongPollTimings';
import { chooseAddresses } from '../peers/listLivePeers';
import type { PeerRecord } from '../peers/peer';
import { createGatewayMetrics } from './createGatewayMetrics';
import { createTableFollowing } from './createTableFollowing';
import type { GatewayPlatform } from './gatewayPlatform';
import { listen } from './listen';
import { openSideListeners } from './openSideListeners';
import { followMembership } from './followMembership';
import { waitUntil } from './waitUntil';
import type { GatewaySettings } from './gatewaySettings';

export interface GatewayDaemon {
  /** Stops taking requests, ends what runs, and resolves when the process may exit. */
  readonly drain: () => Promise<void>;
  /** Reads the settings again; those in force stay where they cannot be read. */
  readonly reload: (read: () => GatewaySettings) => void;
}

/** Part of the time in which a credential must be gone that may pass without confirmation. */
const CONFIRMED_SHARE = 0.85;

/** Validity of an address answer, milliseconds: how long a VM that stops still gets new callers. */
const ADDRESS_VALID_MS = 1_000;

/** Most addresses in an answer. */
const MAX_ADDRESSES = 64;

/** Idle time of a caller's connection before the catalog says another, milliseconds. */
const DEFAULT_IDLE_MS = 15_000;

/** Time between looks at the placement and at suspected servers, milliseconds. */
const DUTY_INTERVAL_MS = 250;

/** Time between questions to a suspected server of a VM whose relays ask it too, milliseconds. */
const SERVED_RECHECK_MS = 3_000;

/** Time for which a VM that started asks engines before it uses them, milliseconds: some heartbeats. */
const NEWCOMER_MS = 2_500;

/** Looks between two tries to register, two seconds: a store that is away is not pressed. */
const REGISTER_DUTIES = 8;

/** Looks between two removals of departed VMs, ten seconds: nothing waits for them. */
const CLEANUP_DUTIES = 40;

/** From the request to stop until new requests are refused: three validities, as callers may keep. */
const CLOSING_AFTER_MS = 3 * ADDRESS_VALID_MS;

/** Part of the grace left unused before the process would be killed, milliseconds. */
const GRACE_MARGIN_MS = 300;

/** Length of an incarnation's id: short in every heartbeat, and lives of one VM still differ. */
const INCARNATION_CHARS = 8;

const EXECUTOR_KEY = 'executor';
const MS_PER_SECOND = 1_000;

/** Starts to listen and to follow the store. */
export function startGateway(initial: GatewaySettings, platform: GatewayPlatform): GatewayDaemon {
  let settings = initial;
  const { store, protocol } = platform;
  const now = (): number => performance.now();
  const log = createEventLog({
    vm: settings.vm.name,
    output: (line) => process.stdout.write(`${line}\n`),
    now,
  });
  const write = (message: string, fields: LogFields): void => {
    log.write(message, fields);
  };
  const metrics = createGatewayMetrics();
  metrics.gauge('log_lines_dropped', 'Log lines dropped to bound their rate.', log.dropped);
  const startTimes = createFirstEventDelays(now);
  const board = createServerRegistry({ now, firstEventDelays: startTimes, log: write });
  const probes = createServerProbes({ registry: board, protocol, now, log: write });
  const self: PeerRecord = {
    vm: settings.vm.name,
    incarnation: randomUUID().slice(0, INCARNATION_CHARS),
    callerAddress: settings.listen.callers,
    peerAddress: settings.listen.peers,
    tableAddress: settings.listen.tables,
    failureDomain: settings.vm.failure_domain,
    cores: settings.vm.cores,
  };
  const startedMs = now();
  write('started', { incarnation: self.incarnation, pid: process.pid });

  let stoppingMs: number | undefined;
  const health = createStoreHealth(now, write);
  const clock = (): ClockReading => ({ monotonicMs: now(), wallMs: Date.now() });
  const times = (): LongPollTimings => chooseLongPollTimings(peers.size());
  const following = createTableFollowing({
    store,
    vm: self.vm,
    relays: () => peers.relays(),
    times,
    health,
    now,
    clock,
    log: write,
  });
  const published = followCatalog({
    ...following.of(platform.catalogTable, () => times().catalogWaitMs),
    decodeCatalog: platform.decodeCatalog,
    onCatalog: (catalog) => {
      applyLimits(callers, catalog);
    },
    limitMs: () => settings.credentials.revoke_ms * CONFIRMED_SHARE,
  });
  const isAccepting = (): boolean =>
    stoppingMs === undefined && published.current() !== undefined && published.isConfirmed();
  const isClosing = (): boolean =>
    stoppingMs !== undefined && now() - stoppingMs > CLOSING_AFTER_MS;

  const peers = createPeerGroup({
    self,
    registry: board,
    isAccepting,
    onSuspected: (id, bornMs) => {
      // A peer's word is checked before it is believed: the peer itself may be cut off.
      const server = board.find(id);
      const isKnown = board.suspicions().some((suspicion) => suspicion.id === id);
      if (server?.bornMs === bornMs && !isKnown) void probes.ask(id);
    },
    onRecovered: (id) => {
      if (board.suspicions().some((suspicion) => suspicion.id === id)) void probes.ask(id);
    },
    now,
    log: write,
  });
  // Other VMs' streams run over the same engine; each learns of its loss before its own pause stands out.
  board.onSuspected(peers.announceSoon);
  const host: GatewayHost = {
    protocol,
    registry: board,
    retryBudgets: createRetryBudgets({
      limits: () => ({
        ratio: settings.retries.ratio,
        extra: settings.retries.extra,
        windowMs: settings.retries.window_s * MS_PER_SECOND,
      }),
      now,
      vms: () => peers.size(),
    }),
    probes,
    watch: createStreamWatch(board),
    firstEventDelays: startTimes,
    isRecentlyStarted: () => now() - startedMs < NEWCOMER_MS,
    vms: peers.size,
    failureDomain: self.failureDomain,
    drainMs: settings.servers.drain_ms,
    now,
    random: Math.random,
    log: write,
    count: metrics.count,
    observe: metrics.observe,
  };
  const gateway = createGateway({
    host,
    catalog: published.current,
    isConfirmed: published.isConfirmed,
    isClosing,
    isDraining: () => stoppingMs !== undefined,
    hasPeers: () => peers.live().some(({ vm }) => vm !== self.vm),
  });
  const placer = createPlacer({
    registry: board,
    protocol,
    catalog: published.current,
    now,
    log: write,
  });
  const claim = createExecutorClaim({
    store,
    table: platform.ownTable,
    key: EXECUTOR_KEY,
    self,
    now,
    log: write,
  });

  followServers({
    ...following.of(platform.serverTable, () => times().serverWaitMs),
    decodeServer: platform.decodeServer,
    registry: board,
  });
  const membership = followMembership({
    ...following.of(platform.ownTable, () => times().peerWaitMs),
    self,
    peers,
    claim,
    executorKey: EXECUTOR_KEY,
  });

  /** Relays ask suspected servers for their domain; the others hear from them who answers again. */
  const recheckIntervalMs = (): number => {
    const relays = peers.relays();
    const isServed = relays.length > 0 && !relays.some(({ vm }) => vm === self.vm);
    return isServed ? SERVED_RECHECK_MS : DUTY_INTERVAL_MS;
  };
  let dutyCount = 0;
  let wasAccepting = false;
  const duty = setInterval(() => {
    dutyCount += 1;
    if (wasAccepting !== isAccepting()) peers.announce();
    wasAccepting = isAccepting();
    if (board.suspicions().length > 0) probes.recheckSuspected(recheckIntervalMs());
    if (stoppingMs !== undefined) return;
    if (!membership.isRegistered() && dutyCount % REGISTER_DUTIES === 0) void membership.register();
    if (claim.tick(peers.live()) && health.isReachable()) {
      placer.tick();
      if (dutyCount % CLEANUP_DUTIES === 0) void membership.removeDeparted();
    }
  }, DUTY_INTERVAL_MS);
  const callers = createServer({ keepAliveTimeout: DEFAULT_IDLE_MS }, gateway.handle);
  listen(callers, settings.listen.callers);
  const tables = createServer(following.relay.handle);
  listen(tables, settings.listen.tables);
  const others = openSideListeners({
    listen: settings.listen,
    platform,
    metrics,
    isReady: isAccepting,
    addressesFor: (failureDomain) => chooseAddresses(peers.live(), failureDomain, MAX_ADDRESSES),
    validMs: () => Math.min(ADDRESS_VALID_MS, settings.directory.max_validity_s * MS_PER_SECOND),
  });

  return {
    reload: (read) => {
      try {
        settings = read();
        write('settings reloaded', {});
      } catch (error) {
        write('settings not readable', { error: String(error) });
      }
    },
    drain: async () => {
      stoppingMs = now();
      write('stopping', { active: gateway.active() });
      peers.announce();
      const released = Promise.all([claim.release(), membership.unregister()]);
      const endMs = stoppingMs + settings.drain.grace_s * MS_PER_SECOND - GRACE_MARGIN_MS;
      await waitUntil(
        () => now() >= endMs || (isClosing() && gateway.active() === 0),
        () => {
          callers.closeIdleConnections();
        },
      );
      clearInterval(duty);
      peers.close();
      for (const server of [callers, tables, ...others]) server.close();
      await Promise.race([released, new Promise((resolve) => setTimeout(resolve, 100))]);
      write('stopped', { active: gateway.active() });
    },
  };
}

function applyLimits(server: Server, { limits }: Catalog): void {
  server.keepAliveTimeout = limits.idleTimeoutMs;
  server.headersTimeout = limits.headerTimeoutMs;
}
