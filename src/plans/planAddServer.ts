/** Plans the addition of a backend server. An engine loads its layers before it gets work. */

import type { Change, Configuration } from '../configuration/configuration';
import type { Engine } from '../engines/engine';
import type { Draft, DraftStep, Impossible, Problem } from './draft';
import { findEngineProblems, createUnknownNameProblem } from './findEngineProblems';
import { getWantedState } from './getWantedState';
import type { Intent } from './intent';
import type { Precondition } from './plan';
import { requireExistence, requireUnchanged } from './objectPreconditions';

type AddServer = Extract<Intent, { readonly type: 'add-backend-server' }>;

/**
 * Plans `add-backend-server`. An engine is added as idle, is ordered to load its layers, and gets
 * work only after it has confirmed that it holds them.
 */
export function planAddServer(
  configuration: Configuration,
  { server, engine }: AddServer,
): Draft | Impossible {
  const problems = findProblems(configuration, server.id, server.failureDomain, engine);
  if (problems.length > 0) return { type: 'impossible', problems };
  const preconditions: Precondition[] = [
    requireUnchanged(configuration, 'backendServer', server.id),
    requireExistence('failureDomain', server.failureDomain),
  ];
  const putServer: Change = { type: 'put', kind: 'backendServer', key: server.id, value: server };
  if (engine === undefined) {
    const steps: DraftStep[] = [{ type: 'commit', changes: [putServer] }];
    const summary = `Add backend server ${server.id}`;
    return { type: 'draft', summary, preconditions, steps, risks: [], rejected: [] };
  }
  return {
    type: 'draft',
    summary: `Add engine ${server.id} for ${describeLayers(engine)}`,
    preconditions: [
      ...preconditions,
      requireUnchanged(configuration, 'engine', engine.id),
      requireUnchanged(configuration, 'model', engine.model),
      requireExistence('acceleratorKind', engine.acceleratorKind),
    ],
    steps: [
      { type: 'commit', changes: [putServer, createEngineChange({ ...engine, role: 'idle' })] },
      { type: 'order', engine: engine.id, wanted: getWantedState(engine) },
      { type: 'commit', changes: [createEngineChange(engine)] },
    ],
    risks: [],
    rejected: ['Routing to it at once: it could be asked for layers that it has not loaded yet'],
  };
}

function createEngineChange(engine: Engine): Change {
  return { type: 'put', kind: 'engine', key: engine.id, value: engine };
}

function describeLayers({ model, layers }: Engine): string {
  return `layers ${layers.from} to ${layers.to - 1} of model ${model}`;
}

function findProblems(
  configuration: Configuration,
  id: string,
  failureDomain: string,
  engine: Engine | undefined,
): readonly Problem[] {
  const problems: Problem[] = [];
  if (!configuration.failureDomain.has(failureDomain)) {
    problems.push(createUnknownNameProblem('failure domain', failureDomain));
  }
  if (configuration.backendServer.has(id)) {
    const remedy = 'Retire it first, or choose another name; set-engine changes an engine in place';
    problems.push({ problem: `Backend server ${id} is there already`, remedy });
  }
  if (engine === undefined) return problems;
  if (engine.id !== id) {
    const remedy = `Name the engine ${id}`;
    problems.push({ problem: `Engine ${engine.id} is not on backend server ${id}`, remedy });
  }
  return [...problems, ...findEngineProblems(configuration, engine)];
}
