/** The site of a run: one model over six engines, and one plain service over three servers. */

import type { Change } from '../../src/configuration/configuration';
import type { MethodContract } from '../../src/contracts/methodContract';
import type { Engine } from '../../src/engines/engine';

/** Layers of the model. */
export const LAYERS = 12;

/** Name of the model. */
export const MODEL = 'm';

/** Workspaces, whose callers take turns. */
export const workspaces = ['kiambu', 'derwent'] as const;

const contract: MethodContract = {
  method: 'POST',
  path: '/deposits',
  isIdempotent: false,
  honoursIdempotencyKey: false,
  timeoutMs: 800,
  maxBodyBytes: 1000,
};

const contracts: readonly MethodContract[] = [
  contract,
  { ...contract, path: '/bookings', honoursIdempotencyKey: true },
  { ...contract, path: '/holds', statusPath: '/status/{id}' },
  { ...contract, method: 'GET', path: '/jobs/*', isIdempotent: true },
];

const domains = ['f1', 'f2', 'f3'];

/** Backend servers of the plain service. */
export const plainServers = ['p1', 'p2', 'p3'] as const;

/** Engines: two for each third of the layers. */
export const engines: readonly Engine[] = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'].map((id, index) => ({
  id,
  acceleratorKind: 'k',
  accelerators: 1,
  uplinkBytesPerSecond: 1e9,
  model: MODEL,
  modelVersion: '1',
  layers: { from: 4 * Math.floor(index / 2), to: 4 * Math.floor(index / 2) + 4 },
  role: 'mixed',
}));

/** The changes of the first revision. */
export function listSiteChanges(): readonly Change[] {
  return [
    ...domains.map((id) => put('failureDomain', id, { id, region: 'r' })),
    ...domains.flatMap((from) =>
      domains
        .filter((to) => to !== from)
        .map((to) => put('link', `${from}/${to}`, { from, to, bytesPerSecond: 1e9, delayMs: 0.5 })),
    ),
    put('acceleratorKind', 'k', {
      id: 'k',
      memoryBytes: 40e9,
      decodeBaseMicros: 400,
      decodeMicrosPerSequence: 10,
      prefillMicrosPerToken: 5,
      maxBatch: 32,
    }),
    put('model', MODEL, {
      id: MODEL,
      layers: LAYERS,
      bytesPerLayer: 1e9,
      kvBytesPerTokenLayer: 1000,
      activationBytes: 8192,
    }),
    ...engines.map((engine) => put('engine', engine.id, engine)),
    ...engines.map(({ id }, index) => putServer(id, 'engine', index)),
    ...plainServers.map((id, index) => putServer(id, 'plain', index)),
    ...workspaces.flatMap(listWorkspaceChanges),
  ];
}

function listWorkspaceChanges(id: string): readonly Change[] {
  const limits = { requestsPerSecond: 1e4, tokensPerSecond: 1e6, concurrentRequests: 1000 };
  return [
    put('workspace', id, { id, share: 1, limits, tokenHashes: [] }),
    put('service', `${id}/desk`, {
      kind: 'plain',
      id: 'desk',
      workspace: id,
      backendServers: plainServers,
      contracts,
    }),
    put('service', `${id}/drafts`, {
      kind: 'model',
      id: 'drafts',
      workspace: id,
      model: MODEL,
      firstTokenTargetMs: 1500,
      tokenIntervalTargetMs: 200,
      maxTokens: 100,
    }),
  ];
}

function putServer(id: string, kind: 'engine' | 'plain', index: number): Change {
  const failureDomain = domains[index % domains.length] ?? '';
  const address = { host: id, port: 9000 };
  const server = { id, kind, failureDomain, address, checksFencing: true, leaving: false };
  return put('backendServer', id, server);
}

function put(kind: string, key: string, value: unknown): Change {
  return { type: 'put', kind, key, value } as Change;
}
