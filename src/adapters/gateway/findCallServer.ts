/** Finds the backend server for a try of a call, among those that accept requests now. */

import type { ListedServer } from '../../chains/layerEngine';
import { chooseCallServer } from '../../gateway/chooseCallServer';
import type { CallHistory } from '../../gateway/createCallHistory';
import type { GatewayHost, Job } from '../../gateway/job';

export interface CallServerLimits {
  /** Servers that the request may be sent to; undefined allows all. */
  readonly only?: ReadonlySet<string> | undefined;
  /** Servers that the request may not be sent to. */
  readonly except?: ReadonlySet<string>;
  /** The server that failed the request last; other servers are preferred. */
  readonly failedBy?: string | undefined;
  /** Servers that the request was sent to, or would have been had they been reached. */
  readonly triedIds?: ReadonlySet<string>;
  /** Whether a suspected server may be tried where there is no other. */
  readonly mayTrySuspected?: boolean;
}

export interface ChosenServer {
  readonly server: ListedServer;
  readonly isSuspected: boolean;
}

const NO_SERVERS: ReadonlySet<string> = new Set();

/** @returns undefined if no server may take the request */
export function findCallServer(
  host: GatewayHost,
  job: Job,
  history: CallHistory,
  limits: CallServerLimits,
): ChosenServer | undefined {
  const {
    only,
    except = NO_SERVERS,
    failedBy,
    triedIds = NO_SERVERS,
    mayTrySuspected = false,
  } = limits;
  const { registry } = host;
  const { name } = job.profile;
  const suspected = mayTrySuspected
    ? registry.lastResortServers(name).filter(({ id }) => !triedIds.has(id))
    : [];
  const isSuspected = suspected.length > 0;
  const allowed = (isSuspected ? suspected : registry.usableServers(name))
    .filter(({ id }) => !except.has(id) && (only?.has(id) ?? true))
    .map((server) => ({
      ...server,
      running: registry.running(server.id),
      ...history.statisticsOf(server.id),
    }));
  const others = allowed.filter(({ id }) => id !== failedBy);
  const candidates = others.length > 0 ? others : allowed;
  const chosen = chooseCallServer(candidates, host.failureDomain, job.rule.targetMs, host.random());
  const server = registry.find(chosen?.id ?? '');
  return server === undefined ? undefined : { server, isSuspected };
}
