/** Gives the daemon's HTTP server access to its node. */

import { performance } from 'node:perf_hooks';
import type { HttpHost } from '../adapters/exchange';
import { countWork } from './countWork';
import type { NodeState } from './createNodeState';
import type { NodeActor } from './createNodeActor';
import type { Ports } from './ports';
import type { Settings } from './settings';
import { viewNode } from './viewNode';

/**
 * Combines the node and its ports for the HTTP server and registers the gauges that read them.
 *
 * @param settings the VM's settings
 * @param actor the node
 * @param ports the daemon's sockets, clients and timers
 * @param createId creates ids that are unique in the fleet
 */
export function createHttpHost(
  settings: Settings,
  actor: NodeActor<NodeState>,
  { metrics, waiting, requestHistory }: Ports,
  createId: () => string,
): HttpHost {
  const configuration = () => actor.state().router.configuration;
  metrics.gauge('requests_running', 'Model requests in progress.', () => waiting.streams.size);
  metrics.gauge('calls_running', 'Calls to plain services in progress.', () =>
    waiting.calls.size(),
  );
  metrics.gauge(
    'configuration_revision',
    'Revision that this VM has applied.',
    () => configuration().revision,
  );
  return {
    send: actor.send,
    waiting,
    createId,
    configuration,
    limits: settings.limits,
    operators: settings.operators,
    now: () => performance.now(),
    count: (counter, labels) => {
      metrics.count(counter, 1, labels);
    },
    metrics: async () => ({ contentType: metrics.contentType, text: await metrics.text() }),
    readiness: () => {
      const { isAccepting, reason } = actor.state().fleet.availability;
      return { isReady: isAccepting, reason };
    },
    view: (name, argument) => {
      const node = actor.state();
      const running = countWork(waiting, node);
      return viewNode(node, name, argument, { requestHistory, running, nowMs: performance.now() });
    },
  };
}
