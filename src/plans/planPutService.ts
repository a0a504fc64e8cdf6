/** Plans adding or changing a service: one commit. */

import type { Configuration } from '../configuration/configuration';
import type { Service } from '../services/service';
import { applyChanges } from './applyChanges';
import { serviceKey } from './configurationKeys';
import { coverageProblems } from './coverageProblems';
import type { Draft, Impossible, Problem } from './draft';
import { unknownName } from './engineProblems';
import type { Intent } from './intent';
import { neededThroughput } from './neededThroughput';
import type { Precondition } from './plan';
import { exists, unchanged } from './preconditionOn';

type PutService = Extract<Intent, { readonly type: 'put-service' }>;

/** Plans `put-service`: workspace and model or backend servers must be there and carry it. */
export function planPutService(
  configuration: Configuration,
  { service }: PutService,
): Draft | Impossible {
  const key = serviceKey(service.workspace, service.id);
  const changes = [{ type: 'put', kind: 'service', key, value: service } as const];
  const after = applyChanges(configuration, changes);
  const problems = [...nameProblems(configuration, service), ...needProblems(after, service)];
  if (problems.length > 0) return { type: 'impossible', problems };
  const verb = configuration.service.has(key) ? 'Change' : 'Add';
  return {
    type: 'draft',
    summary: `${verb} service ${key}`,
    preconditions: [
      unchanged(configuration, 'service', key),
      exists('workspace', service.workspace),
      ...needs(after, service),
    ],
    steps: [{ type: 'commit', changes }],
    risks: [],
    rejected: [],
  };
}

function nameProblems(configuration: Configuration, service: Service): readonly Problem[] {
  const problems: Problem[] = [];
  if (!configuration.workspace.has(service.workspace)) {
    problems.push(unknownName('workspace', service.workspace));
  }
  if (service.kind === 'model' && !configuration.model.has(service.model)) {
    problems.push(unknownName('model', service.model));
  }
  if (service.kind === 'plain') {
    const missing = service.backendServers.filter((id) => !configuration.backendServer.has(id));
    problems.push(...missing.map((id) => unknownName('backend server', id)));
  }
  return problems;
}

function needProblems(after: Configuration, service: Service): readonly Problem[] {
  if (service.kind === 'model') {
    return after.model.has(service.model) ? coverageProblems(after, service.model) : [];
  }
  if (service.backendServers.length > 0) return [];
  const remedy = 'Name at least one backend server';
  return [{ problem: `Service ${service.id} has no backend server`, remedy }];
}

function needs(after: Configuration, service: Service): readonly Precondition[] {
  if (service.kind === 'plain') {
    return service.backendServers.map((id) => exists('backendServer', id));
  }
  const tokensPerSecond = neededThroughput(after, service.model);
  return [
    exists('model', service.model),
    { type: 'capacity', model: service.model, tokensPerSecond },
  ];
}
