/** Puts together what a gateway knows of the backend servers, and how it learns it. */

import { callLater } from '../adapters/gateway/callLater';
import type { Catalog } from '../catalog/catalog';
import type { BackendProtocol } from '../gateway/backendProtocol';
import { createContentSuspicions } from '../gateway/createContentSuspicions';
import { createFirstEventDelays } from '../gateway/createFirstEventDelays';
import { createPartitionDetector } from '../gateway/createPartitionDetector';
import { createRequestLimits } from '../gateway/createRequestLimits';
import type { RequestLimits } from '../gateway/createRequestLimits';
import { mayProbeEarly } from '../adapters/evidence/mayProbeEarly';
import { computeReportSharing } from '../evidence/computeReportSharing';
import { createSilenceAlarms } from '../evidence/createSilenceAlarms';
import { createServerProbes } from '../gateway/createServerProbes';
import { createServerRegistry } from '../gateway/createServerRegistry';
import type { GatewayHost, LogFields } from '../gateway/job';
import type { ServerRegistry } from '../gateway/serverRegistry';

export interface BackendView extends Pick<
  GatewayHost,
  'registry' | 'probes' | 'partition' | 'contentSuspicions' | 'firstEventDelays' | 'silenceAlarms'
> {
  readonly limits: RequestLimits;
  /** The registry as other VMs hear of it: what a partitioned VM suspects says nothing about the servers. */
  readonly reportedRegistry: ServerRegistry;
}

export interface BackendViewOptions {
  /** Name of this VM. */
  readonly vm: string;
  /** Names of all VMs that may send to backend servers; undefined while they are unknown. */
  readonly vms: () => readonly string[] | undefined;
  /** Whether another VM reaches backend servers; without one, a partition can't be told from their failure. */
  readonly hasReachingPeers: () => boolean;
  readonly protocol: BackendProtocol;
  /** Undefined before the first catalog is known. */
  readonly catalog: () => Catalog | undefined;
  /** Whether answers may have waited in this process. */
  readonly isLate: () => boolean;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
}

/** Time for which a partition may have lasted before it is found, milliseconds. */
const UNNOTICED_MS = 500;

/** Creates a view without servers. */
export function createBackendView(options: BackendViewOptions): BackendView {
  const { vm, vms, hasReachingPeers, protocol, catalog, isLate, now, log, count } = options;
  const firstEventDelays = createFirstEventDelays(now);
  const limits = createRequestLimits({ now, log, count, vm, vms, random: Math.random });
  const registry = createServerRegistry({
    now,
    firstEventDelays,
    log,
    count,
    callLater,
    limits,
    isLate,
  });
  const partition = createPartitionDetector({
    servers: () => registry.allServers().filter(({ isDraining }) => !isDraining),
    checkConnection: protocol.checkConnection,
    now,
    random: Math.random,
    log,
    count,
    callLater,
  });
  // What was suspected shortly before and during a partition is explained by it.
  partition.onChange((isPartitioned, beganMs) => {
    if (isPartitioned || !hasReachingPeers()) return;
    for (const { id, sinceMs, reason } of registry.suspicions()) {
      const isExplained = sinceMs >= beganMs - UNNOTICED_MS && reason !== 'restarted';
      if (isExplained) registry.dropSuspicion(id);
    }
  });
  /** A server that a partitioned VM does not reach may be sound. */
  const onEnded: ServerRegistry['onEnded'] = (listener) => {
    registry.onEnded((server) => {
      void partition.verify().then((isPartitioned) => {
        if (!isPartitioned || !hasReachingPeers()) listener(server);
      });
    });
  };
  const silenceAlarms = createSilenceAlarms({ now, log, count });
  const reportSharedMs = (server: string): number =>
    computeReportSharing(
      mayProbeEarly({ silenceAlarms, vm, vms: () => vms()?.length ?? 1 }, server),
    );
  return {
    limits,
    partition,
    registry,
    reportedRegistry: {
      ...registry,
      suspicions: () => (partition.isPartitioned() ? [] : registry.suspicions()),
    },
    firstEventDelays,
    silenceAlarms,
    probes: createServerProbes({
      registry,
      protocol,
      reportSharedMs,
      profileOf: (service) => catalog()?.services.get(service),
      isPartitioned: () => partition.isPartitioned() && hasReachingPeers(),
      now,
      log,
      count,
    }),
    contentSuspicions: createContentSuspicions({
      registry: { onEnded, onAnswer: registry.onAnswer },
      now,
      log,
      count,
    }),
  };
}
