/** Plans retiring a backend server: it leaves, drains, and is taken out. */

import type { BackendServer } from '../backendServers/backendServer';
import type { Change, Configuration } from '../configuration/configuration';
import type { PlainService } from '../services/service';
import { serviceKey } from './configurationKeys';
import type { Draft, DraftStep, Impossible, Problem } from './draft';
import { capacityNeeds, putEngine, stagesProblems } from './engineSteps';
import { unknownName } from './engineProblems';
import type { Intent } from './intent';
import { unchanged } from './preconditionOn';
import { wantedState } from './wantedState';

type RetireServer = Extract<Intent, { readonly type: 'retire-backend-server' }>;

/** Plans `retire-backend-server`. What needs it must be served without it at every step. */
export function planRetireServer(
  configuration: Configuration,
  intent: RetireServer,
): Draft | Impossible {
  const server = configuration.backendServer.get(intent.server);
  if (server === undefined) {
    return { type: 'impossible', problems: [unknownName('backend server', intent.server)] };
  }
  return configuration.engine.has(server.id)
    ? retireEngine(configuration, server)
    : retirePlain(configuration, server);
}

function retireEngine(configuration: Configuration, server: BackendServer): Draft | Impossible {
  const engine = configuration.engine.get(server.id);
  if (engine === undefined) throw new RangeError(`No engine ${server.id}`);
  const idle = { ...engine, role: 'idle' } as const;
  const steps: readonly DraftStep[] = [
    { type: 'commit', changes: [putLeaving(server), putEngine(idle)] },
    { type: 'order', engine: engine.id, wanted: { ...wantedState(idle), leaving: true } },
    { type: 'drain', backendServer: server.id, waitMs: 0 },
    {
      type: 'commit',
      changes: [removed('engine', engine.id), removed('backendServer', server.id)],
    },
  ];
  const problems = stagesProblems(configuration, steps, [engine.model]);
  if (problems.length > 0) return { type: 'impossible', problems };
  return {
    type: 'draft',
    summary: `Retire engine ${server.id}`,
    preconditions: [
      unchanged(configuration, 'backendServer', server.id),
      unchanged(configuration, 'engine', engine.id),
      ...capacityNeeds(configuration, [engine.model]),
    ],
    steps,
    risks: [],
    rejected: ['Taking it out at once: the requests that run on it would be cut'],
  };
}

function retirePlain(configuration: Configuration, server: BackendServer): Draft | Impossible {
  const users = [...configuration.service.values()].filter(
    (service): service is PlainService =>
      service.kind === 'plain' && service.backendServers.includes(server.id),
  );
  const problems = users.filter((service) => service.backendServers.length === 1).map(lastServer);
  if (problems.length > 0) return { type: 'impossible', problems };
  const waitMs = Math.max(
    0,
    ...users.flatMap(({ contracts }) => contracts.map((c) => c.timeoutMs)),
  );
  const shrunk = users.map((service): Change => {
    const backendServers = service.backendServers.filter((id) => id !== server.id);
    const key = serviceKey(service.workspace, service.id);
    return { type: 'put', kind: 'service', key, value: { ...service, backendServers } };
  });
  return {
    type: 'draft',
    summary: `Retire backend server ${server.id}`,
    preconditions: [
      unchanged(configuration, 'backendServer', server.id),
      ...shrunk.map(({ key }) => unchanged(configuration, 'service', key)),
    ],
    steps: [
      { type: 'commit', changes: [putLeaving(server), ...shrunk] },
      { type: 'drain', backendServer: server.id, waitMs },
      { type: 'commit', changes: [removed('backendServer', server.id)] },
    ],
    risks: [],
    rejected: ['Taking it out at once: calls that run on it would have an unknown outcome'],
  };
}

function putLeaving(server: BackendServer): Change {
  const value = { ...server, leaving: true };
  return { type: 'put', kind: 'backendServer', key: server.id, value };
}

function removed(kind: 'engine' | 'backendServer', key: string): Change {
  return { type: 'remove', kind, key };
}

function lastServer(service: PlainService): Problem {
  return {
    problem: `It is the last backend server of ${serviceKey(service.workspace, service.id)}`,
    remedy: 'Add another one to the service first, or retire the service',
  };
}
