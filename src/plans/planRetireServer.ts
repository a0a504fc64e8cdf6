/** Plans the retirement of a backend server: it is marked as leaving, drained and removed. */

import type { BackendServer } from '../backendServers/backendServer';
import type { Change, Configuration } from '../configuration/configuration';
import type { PlainService } from '../services/service';
import { formatServiceKey } from './configurationKeys';
import type { Draft, DraftStep, Impossible, Problem } from './draft';
import { createCapacityPreconditions, createEngineChange, findStageProblems } from './engineSteps';
import { createUnknownNameProblem } from './findEngineProblems';
import type { Intent } from './intent';
import { requireUnchanged } from './objectPreconditions';
import { getWantedState } from './getWantedState';

type RetireServer = Extract<Intent, { readonly type: 'retire-backend-server' }>;

/**
 * Plans `retire-backend-server`. At every step its services must have enough capacity or another
 * server.
 */
export function planRetireServer(
  configuration: Configuration,
  intent: RetireServer,
): Draft | Impossible {
  const server = configuration.backendServer.get(intent.server);
  if (server === undefined) {
    return {
      type: 'impossible',
      problems: [createUnknownNameProblem('backend server', intent.server)],
    };
  }
  return configuration.engine.has(server.id)
    ? draftEngineRetirement(configuration, server)
    : draftPlainServerRetirement(configuration, server);
}

function draftEngineRetirement(
  configuration: Configuration,
  server: BackendServer,
): Draft | Impossible {
  const engine = configuration.engine.get(server.id);
  if (engine === undefined) throw new RangeError(`No engine ${server.id}`);
  const idle = { ...engine, role: 'idle' } as const;
  const steps: readonly DraftStep[] = [
    { type: 'commit', changes: [createLeavingChange(server), createEngineChange(idle)] },
    { type: 'order', engine: engine.id, wanted: { ...getWantedState(idle), leaving: true } },
    { type: 'drain', backendServer: server.id, waitMs: 0 },
    {
      type: 'commit',
      changes: [createRemoval('engine', engine.id), createRemoval('backendServer', server.id)],
    },
  ];
  const problems = findStageProblems(configuration, steps, [engine.model]);
  if (problems.length > 0) return { type: 'impossible', problems };
  return {
    type: 'draft',
    summary: `Retire engine ${server.id}`,
    preconditions: [
      requireUnchanged(configuration, 'backendServer', server.id),
      requireUnchanged(configuration, 'engine', engine.id),
      ...createCapacityPreconditions(configuration, [engine.model]),
    ],
    steps,
    risks: [],
    rejected: ['Taking it out at once: the requests that run on it would be cut'],
  };
}

function draftPlainServerRetirement(
  configuration: Configuration,
  server: BackendServer,
): Draft | Impossible {
  const users = [...configuration.service.values()].filter(
    (service): service is PlainService =>
      service.kind === 'plain' && service.backendServers.includes(server.id),
  );
  const problems = users
    .filter((service) => service.backendServers.length === 1)
    .map(createLastServerProblem);
  if (problems.length > 0) return { type: 'impossible', problems };
  const waitMs = Math.max(
    0,
    ...users.flatMap(({ contracts }) => contracts.map((c) => c.timeoutMs)),
  );
  const shrunk = users.map((service): Change => {
    const backendServers = service.backendServers.filter((id) => id !== server.id);
    const key = formatServiceKey(service.workspace, service.id);
    return { type: 'put', kind: 'service', key, value: { ...service, backendServers } };
  });
  return {
    type: 'draft',
    summary: `Retire backend server ${server.id}`,
    preconditions: [
      requireUnchanged(configuration, 'backendServer', server.id),
      ...shrunk.map(({ key }) => requireUnchanged(configuration, 'service', key)),
    ],
    steps: [
      { type: 'commit', changes: [createLeavingChange(server), ...shrunk] },
      { type: 'drain', backendServer: server.id, waitMs },
      { type: 'commit', changes: [createRemoval('backendServer', server.id)] },
    ],
    risks: [],
    rejected: ['Taking it out at once: calls that run on it would have an unknown outcome'],
  };
}

function createLeavingChange(server: BackendServer): Change {
  const value = { ...server, leaving: true };
  return { type: 'put', kind: 'backendServer', key: server.id, value };
}

function createRemoval(kind: 'engine' | 'backendServer', key: string): Change {
  return { type: 'remove', kind, key };
}

function createLastServerProblem(service: PlainService): Problem {
  return {
    problem: `It is the last backend server of ${formatServiceKey(service.workspace, service.id)}`,
    remedy: 'Add another one to the service first, or retire the service',
  };
}
