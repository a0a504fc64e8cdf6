/** Puts together what a gateway knows of the backend servers, and how it learns it. */

import { callLater } from '../adapters/gateway/callLater';
import type { Catalog } from '../catalog/catalog';
import type { BackendProtocol } from '../gateway/backendProtocol';
import { createContentSuspicions } from '../gateway/createContentSuspicions';
import { createFirstEventDelays } from '../gateway/createFirstEventDelays';
import { createPartitionDetector } from '../gateway/createPartitionDetector';
import { createRequestLimits } from '../gateway/createRequestLimits';
import type { RequestLimits } from '../gateway/createRequestLimits';
import { createServerProbes } from '../gateway/createServerProbes';
import { createServerRegistry } from '../gateway/createServerRegistry';
import type { GatewayHost, LogFields } from '../gateway/job';

export interface BackendView extends Pick<
  GatewayHost,
  'registry' | 'probes' | 'partition' | 'contentSuspicions' | 'firstEventDelays'
> {
  readonly limits: RequestLimits;
}

export interface BackendViewOptions {
  /** Name of this VM. */
  readonly vm: string;
  /** Names of all VMs that may send to backend servers; undefined while they are unknown. */
  readonly vms: () => readonly string[] | undefined;
  readonly protocol: BackendProtocol;
  /** Undefined before the first catalog is known. */
  readonly catalog: () => Catalog | undefined;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
}

/** Creates a view without servers. */
export function createBackendView(options: BackendViewOptions): BackendView {
  const { vm, vms, protocol, catalog, now, log, count } = options;
  const firstEventDelays = createFirstEventDelays(now);
  const limits = createRequestLimits({ now, log, count, vm, vms, random: Math.random });
  const registry = createServerRegistry({ now, firstEventDelays, log, count, callLater, limits });
  const partition = createPartitionDetector({
    servers: () => registry.allServers().filter(({ isDraining }) => !isDraining),
    checkConnection: protocol.checkConnection,
    now,
    random: Math.random,
    log,
    count,
    callLater,
  });
  return {
    limits,
    partition,
    registry,
    firstEventDelays,
    probes: createServerProbes({
      registry,
      protocol,
      profileOf: (service) => catalog()?.services.get(service),
      now,
      log,
    }),
    contentSuspicions: createContentSuspicions({ registry, now, log, count }),
  };
}
