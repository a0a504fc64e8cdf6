/** The demo's site: its servers, engines and services, and the intents that configure it. */

import { hashToken } from '../src/adapters/hashToken';
import type { AcceleratorKind, Engine, Model } from '../src/engines/engine';
import type { Intent } from '../src/plans/intent';
import type { Address } from '../src/vms/vm';

/** The model that both workspaces draft with. */
export const MODEL: Model = {
  id: 'notes',
  layers: 12,
  bytesPerLayer: 1e9,
  kvBytesPerTokenLayer: 4096,
  activationBytes: 8192,
};

export const FAILURE_DOMAINS = ['a', 'b', 'c'] as const;

/** Bearer tokens by workspace; the configuration holds only their hashes. */
export const TOKENS = { kiambu: 'kiambu-counter', derwent: 'derwent-desk' } as const;

export type WorkspaceName = keyof typeof TOKENS;

/** Four kinds of accelerators; decode costs differ by up to four times. */
const KINDS = ['small', 'wide', 'old', 'large'] as const;

const createKind = (id: string, at: number): AcceleratorKind => ({
  id,
  memoryBytes: 24e9,
  decodeBaseMicros: 100 * (at + 1),
  decodeMicrosPerSequence: 5 * (at + 1),
  prefillMicrosPerToken: 5 * (at + 1),
  maxBatch: 32,
});

/** Engines that hold the model between them, with layers split in two different ways. */
export const ENGINES: readonly Engine[] = [
  createEngine('engine-0', 0, 0, 4),
  createEngine('engine-1', 1, 4, 8),
  createEngine('engine-2', 2, 8, 12),
  createEngine('engine-3', 3, 0, 6),
  createEngine('engine-4', 0, 6, 12),
  createEngine('engine-5', 1, 0, 4),
  createEngine('engine-6', 2, 4, 8),
  createEngine('engine-7', 3, 8, 12),
];

/** Plain services, two backend servers each, by workspace. */
export const PLAIN_SERVERS: Readonly<Record<WorkspaceName, readonly string[]>> = {
  kiambu: ['counter-0', 'counter-1'],
  derwent: ['seats-0', 'seats-1'],
};

/** The plain service of each workspace, with the paths of writes that must not run twice. */
export const PLAIN_SERVICES = {
  kiambu: { id: 'counter', writes: ['/bookings', '/deposits'], lookups: '/jobs/' },
  derwent: { id: 'seats', writes: ['/holds', '/tickets'], lookups: '/allocations/' },
} as const;

function createEngine(id: string, kind: number, from: number, to: number): Engine {
  return {
    id,
    acceleratorKind: KINDS[kind] ?? 'small',
    accelerators: 1,
    uplinkBytesPerSecond: 1e9,
    model: MODEL.id,
    modelVersion: '1',
    layers: { from, to },
    role: 'mixed',
  };
}

/** Creates the intents for failure domains, links, accelerator kinds and the model. */
export function createSiteIntents(): readonly Intent[] {
  const domains = FAILURE_DOMAINS.map((id) => ({
    type: 'put' as const,
    kind: 'failureDomain' as const,
    key: id,
    value: { id, region: 'demo' },
  }));
  const links = FAILURE_DOMAINS.flatMap((from) =>
    FAILURE_DOMAINS.filter((to) => to !== from).map((to) => ({
      type: 'put' as const,
      kind: 'link' as const,
      key: `${from}/${to}`,
      value: { from, to, bytesPerSecond: 1e9, delayMs: 0.3 },
    })),
  );
  const kinds = KINDS.map((id, at) => ({
    type: 'put' as const,
    kind: 'acceleratorKind' as const,
    key: id,
    value: createKind(id, at),
  }));
  const model = { type: 'put' as const, kind: 'model' as const, key: MODEL.id, value: MODEL };
  return [{ type: 'describe-site', changes: [...domains, ...links, ...kinds, model] }];
}

/** Creates the intent that adds a backend server, with its engine if it has one. */
export function createServerIntent(id: string, address: Address, at: number): Intent {
  const engine = ENGINES.find((one) => one.id === id);
  return {
    type: 'add-backend-server',
    server: {
      id,
      kind: engine === undefined ? 'plain' : 'engine',
      failureDomain: FAILURE_DOMAINS[at % FAILURE_DOMAINS.length] ?? 'a',
      address,
      checksFencing: at % 2 === 0,
      leaving: false,
    },
    ...(engine === undefined ? {} : { engine }),
  };
}

/** Creates the intent that adds a workspace. */
export function createWorkspaceIntent(id: WorkspaceName): Intent {
  return {
    type: 'put-workspace',
    workspace: {
      id,
      share: 1,
      limits: { requestsPerSecond: 200, tokensPerSecond: 20_000, concurrentRequests: 100 },
      tokenHashes: [hashToken(TOKENS[id])],
    },
  };
}

/** Creates the intents that add a workspace's two services: drafts and the plain service. */
export function createServiceIntents(workspace: WorkspaceName): readonly Intent[] {
  const { id, writes, lookups } = PLAIN_SERVICES[workspace];
  const common = { honoursIdempotencyKey: false, timeoutMs: 2000, maxBodyBytes: 4096 };
  return [
    {
      type: 'put-service',
      service: {
        kind: 'model',
        id: 'drafts',
        workspace,
        model: MODEL.id,
        firstTokenTargetMs: 3000,
        tokenIntervalTargetMs: 200,
        maxTokens: 4096,
      },
    },
    {
      type: 'put-service',
      service: {
        kind: 'plain',
        id,
        workspace,
        backendServers: PLAIN_SERVERS[workspace],
        contracts: [
          ...writes.map((path) => ({
            method: 'POST',
            path: `${path}/*`,
            isIdempotent: false,
            ...common,
          })),
          { method: 'GET', path: `${lookups}*`, isIdempotent: true, ...common },
        ],
      },
    },
  ];
}
