/** JSON views of a node for operators: this VM's own state of knowledge and the age of each item. */

import type { ServerRecord } from '../vms/serverRecord';
import type { NodeState } from './createNodeState';
import type { RequestHistory } from './createRequestHistory';

export interface ViewOptions {
  readonly requestHistory: RequestHistory;
  /** The node's monotonic clock, milliseconds. */
  readonly nowMs: number;
  readonly running: number;
}

type View = (node: NodeState, argument: string, options: ViewOptions) => unknown;

const views: Readonly<Record<string, View>> = {
  status: viewStatus,
  vms: viewVms,
  backends: (node, _argument, options) => ({
    backends: [...node.router.configuration.backendServer.keys()].map((id) =>
      viewBackend(node, id, options),
    ),
  }),
  configuration: ({ router }) =>
    Object.fromEntries(
      Object.entries(router.configuration).map(([kind, objects]) => [
        kind,
        typeof objects === 'number' ? objects : [...(objects as ReadonlyMap<string, unknown>)],
      ]),
    ),
  explain: viewExplanation,
};

/**
 * Builds one view.
 *
 * @param node the state of the node
 * @param name name of the view
 * @param argument id of the object to show, for a view that takes one
 * @param options the request history, the time, and the number of requests and calls in progress
 * @returns undefined if the view or its object does not exist
 */
export function viewNode(
  node: NodeState,
  name: string,
  argument: string,
  options: ViewOptions,
): unknown {
  return views[name]?.(node, argument, options);
}

function viewStatus(
  { fleet, router }: NodeState,
  _argument: string,
  options: ViewOptions,
): unknown {
  const { applied, accepted, head } = fleet.configuration;
  return {
    vm: fleet.vm.id,
    incarnation: fleet.vm.incarnation,
    isAccepting: fleet.availability.isAccepting,
    reason: fleet.availability.reason,
    isDraining: fleet.drain !== undefined,
    revision: applied.revision,
    accepted,
    head,
    liveVms: fleet.membership.liveVms,
    usableBackends: [...router.health.values()].filter(({ isUsable }) => isUsable).length,
    backends: router.configuration.backendServer.size,
    running: options.running,
  };
}

function viewVms({ fleet }: NodeState, _argument: string, { nowMs }: ViewOptions): unknown {
  const others = [...fleet.membership.members.values()].map((member) => ({
    id: member.id,
    status: member.status,
    isAccepting: member.isAccepting,
    isDraining: member.isDraining,
    revision: member.applied,
    listing: member.listing,
    incarnation: member.incarnation,
    failureDomain: member.vm.failureDomain,
    http: member.vm.addresses.http,
    heardMsAgo: computeAgeMs(member.lastSeenAtMs, nowMs),
  }));
  const self = {
    id: fleet.vm.id,
    status: 'self',
    isAccepting: fleet.availability.isAccepting,
    isDraining: fleet.drain !== undefined,
    revision: fleet.configuration.applied.revision,
    listing: '',
    incarnation: fleet.vm.incarnation,
    failureDomain: fleet.vm.failureDomain,
    http: fleet.vm.addresses.http,
    heardMsAgo: 0,
  };
  return { vms: [self, ...others] };
}

function viewBackend({ router, fleet }: NodeState, id: string, { nowMs }: ViewOptions): unknown {
  const server = router.configuration.backendServer.get(id);
  if (server === undefined) return undefined;
  const engine = router.configuration.engine.get(id);
  const health = router.health.get(id);
  const record: ServerRecord | undefined = fleet.servers.records.get(id);
  return {
    id,
    kind: server.kind,
    failureDomain: server.failureDomain,
    address: server.address,
    isUsable: health?.isUsable ?? false,
    weight: health?.weight ?? 0,
    state: record?.report?.state ?? 'no word',
    wordMsAgo:
      record?.report === undefined ? undefined : computeAgeMs(record.report.observedAtMs, nowMs),
    wordVia: record?.report?.via,
    failuresInRow: record?.failureHistory.failuresInRow ?? 0,
    ejections: record?.failureHistory.ejections ?? 0,
    ...(engine === undefined
      ? {}
      : { model: engine.model, layers: engine.layers, role: engine.role, load: record?.load }),
  };
}

/** Shows a request that this VM received, or a backend server. */
function viewExplanation(node: NodeState, id: string, options: ViewOptions): unknown {
  const course = options.requestHistory.read(id);
  const running = node.router.requests.get(id);
  if (course !== undefined || running !== undefined) {
    const { phase, attempt, route, deliveredCount, avoided } = running ?? {};
    const now = running && { phase, attempt, route, deliveredCount, avoided };
    return { type: 'request', id, isRunning: running !== undefined, now, course };
  }
  const backend = viewBackend(node, id, options);
  return backend === undefined ? undefined : { type: 'backend server', ...backend };
}

function computeAgeMs(atMs: number, nowMs: number): number | undefined {
  return Number.isFinite(atMs) ? Math.round(nowMs - atMs) : undefined;
}
