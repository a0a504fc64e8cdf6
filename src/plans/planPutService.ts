/** Plans the addition or change of a service in one commit. */

import type { Configuration } from '../configuration/configuration';
import type { Service } from '../services/service';
import { applyChanges } from './applyChanges';
import { formatServiceKey } from './configurationKeys';
import { findCoverageProblems } from './findCoverageProblems';
import type { Draft, Impossible, Problem } from './draft';
import { createUnknownNameProblem } from './findEngineProblems';
import type { Intent } from './intent';
import { computeNeededThroughput } from './computeNeededThroughput';
import type { Precondition } from './plan';
import { requireExistence, requireUnchanged } from './objectPreconditions';

type PutService = Extract<Intent, { readonly type: 'put-service' }>;

/**
 * Plans `put-service`. The workspace and the model or backend servers must exist, and the model
 * must have the needed capacity.
 */
export function planPutService(
  configuration: Configuration,
  { service }: PutService,
): Draft | Impossible {
  const key = formatServiceKey(service.workspace, service.id);
  const changes = [{ type: 'put', kind: 'service', key, value: service } as const];
  const after = applyChanges(configuration, changes);
  const problems = [
    ...findNameProblems(configuration, service),
    ...findBackendProblems(after, service),
  ];
  if (problems.length > 0) return { type: 'impossible', problems };
  const verb = configuration.service.has(key) ? 'Change' : 'Add';
  return {
    type: 'draft',
    summary: `${verb} service ${key}`,
    preconditions: [
      requireUnchanged(configuration, 'service', key),
      requireExistence('workspace', service.workspace),
      ...createBackendPreconditions(after, service),
    ],
    steps: [{ type: 'commit', changes }],
    risks: [],
    rejected: [],
  };
}

function findNameProblems(configuration: Configuration, service: Service): readonly Problem[] {
  const problems: Problem[] = [];
  if (!configuration.workspace.has(service.workspace)) {
    problems.push(createUnknownNameProblem('workspace', service.workspace));
  }
  if (service.kind === 'model' && !configuration.model.has(service.model)) {
    problems.push(createUnknownNameProblem('model', service.model));
  }
  if (service.kind === 'plain') {
    const missing = service.backendServers.filter((id) => !configuration.backendServer.has(id));
    problems.push(...missing.map((id) => createUnknownNameProblem('backend server', id)));
  }
  return problems;
}

function findBackendProblems(after: Configuration, service: Service): readonly Problem[] {
  if (service.kind === 'model') {
    return after.model.has(service.model) ? findCoverageProblems(after, service.model) : [];
  }
  if (service.backendServers.length > 0) return [];
  const remedy = 'Name at least one backend server';
  return [{ problem: `Service ${service.id} has no backend server`, remedy }];
}

function createBackendPreconditions(
  after: Configuration,
  service: Service,
): readonly Precondition[] {
  if (service.kind === 'plain') {
    return service.backendServers.map((id) => requireExistence('backendServer', id));
  }
  const tokensPerSecond = computeNeededThroughput(after, service.model);
  return [
    requireExistence('model', service.model),
    { type: 'capacity', model: service.model, tokensPerSecond },
  ];
}
