/**
 * A small site in one process for tests of the daemon: stand-ins for the platform, engines that hold
 * a model between them with a replica of the first stage, a plain service, and one daemon on ports that the system chooses.
 */

import { setTimeout } from 'node:timers/promises';
import type { Change, Configuration, ObjectKind } from '../configuration/configuration';
import { CONFIGURATION_TABLE, HEAD_KEY } from '../configuration/configurationConstants';
import { encodeRevision } from '../configuration/encodeRevision';
import { formatRevisionKey } from '../configuration/formatRevisionKey';
import { createConfiguration } from '../configuration/createConfiguration';
import { hashToken } from '../adapters/hashToken';
import type { Address } from '../vms/vm';
import { startEngine } from '../../standins/engine/startEngine';
import { startMembership } from '../../standins/membership/startMembership';
import { startPlainService } from '../../standins/plainService/startPlainService';
import { startTable } from '../../standins/table/startTable';
import type { Server } from '../../standins/http/startServer';
import { DEFAULT_LIMITS } from './constants';
import type { LimitSettings, Settings } from './settings';
import { startDaemon } from './startDaemon';
import type { Daemon } from './startDaemon';

/** The model that the engines hold between them. */
export const MODEL = { id: 'bench', layers: 12 } as const;

/** Bearer token of the workspace `kiambu`. */
export const CALLER_TOKEN = 'caller-token';

/** Bearer token of the operator `amina`, who may confirm. */
export const OPERATOR_TOKEN = 'operator-token';

const OBJECT_KINDS: readonly ObjectKind[] = [
  'failureDomain',
  'link',
  'acceleratorKind',
  'model',
  'backendServer',
  'engine',
  'workspace',
  'service',
];

const STAGE_LAYERS = 4;

/** Time between two looks at whether the daemon knows the site, milliseconds. */
const POLL_MS = 5;
/** Stage of each engine; the last engine is a replica of the first. */
const STAGES: readonly (readonly [string, number])[] = [
  ['engine-0', 0],
  ['engine-1', 1],
  ['engine-2', 2],
  ['engine-3', 0],
];

export interface TestSite {
  readonly daemon: Daemon;
  /** `http://host:port` of the daemon. */
  readonly url: string;
  readonly engines: readonly Server[];
  readonly plain: Server;
  readonly stop: () => Promise<void>;
}

export interface TestSiteOptions {
  readonly limits?: Partial<LimitSettings>;
  /** Time of one decode step, milliseconds. */
  readonly stepMs?: number;
  /** Addresses of the four engines, where others than the stand-ins are to be used. */
  readonly engines?: readonly Server[];
}

/**
 * Starts the site and waits until the daemon knows it.
 *
 * @param options limits of the daemon, and the pace of the engines
 */
export async function startTestSite(options: TestSiteOptions = {}): Promise<TestSite> {
  const { limits = {}, stepMs = 0 } = options;
  const platform = await Promise.all([startTable(), startMembership()]);
  const engines =
    options.engines ??
    (await Promise.all(STAGES.map(([id, stage]) => startStage(id, stage, stepMs))));
  const plain = await startPlainService({ id: 'desk-0' });
  const settings = createSettings(platform, { ...DEFAULT_LIMITS, ...limits });
  const [table] = platform;
  await writeRevision(table, listChanges(createSiteConfiguration(engines, plain)));
  const daemon = await startDaemon(settings, { seed: 1, log: { write: () => undefined } });
  while (!isReady(daemon)) await setTimeout(POLL_MS);
  const { host, port } = daemon.vm.addresses.http;
  return {
    daemon,
    url: `http://${host}:${port}`,
    engines,
    plain,
    stop: async () => {
      await daemon.stop();
      await Promise.all([...platform, ...engines, plain].map((server) => server.close()));
    },
  };
}

function startStage(id: string, stage: number, stepMs: number): Promise<Server> {
  const layers = { from: stage * STAGE_LAYERS, to: (stage + 1) * STAGE_LAYERS };
  const state = {
    model: MODEL.id,
    modelVersion: '1',
    layers,
    role: 'mixed',
    leaving: false,
  } as const;
  return startEngine({
    id,
    state,
    stepMs,
    prefillMsPerToken: 0,
    onCrash: () => undefined,
  });
}

function createSettings(platform: readonly Server[], limits: LimitSettings): Settings {
  const anyPort = { host: '127.0.0.1', port: 0 };
  const [table = '', membership = ''] = platform.map(({ host, port }) => `http://${host}:${port}`);
  return {
    vm: { id: 'vm-1', region: 'nairobi', failureDomain: 'a' },
    listen: { http: anyPort, peer: anyPort, gossip: anyPort },
    platform: { table, membership },
    fleet: 'test',
    seeds: [],
    answerValidMs: 100,
    keys: { current: 'test-key-of-thirty-two-bytes-....' },
    operators: [{ name: 'amina', role: 'confirm', tokenHash: hashToken(OPERATOR_TOKEN) }],
    limits,
  };
}

function isReady(daemon: Daemon): boolean {
  const { fleet, router, operations } = daemon.state();
  const revision = Math.min(router.configuration.revision, operations.configuration.revision);
  const usable = [...router.health.values()].filter((server) => server.isUsable);
  return fleet.availability.isAccepting && revision === 1 && usable.length === STAGES.length + 1;
}

function listChanges(configuration: Configuration): readonly Change[] {
  const list = (kind: ObjectKind): readonly Change[] =>
    [...configuration[kind]].map(([key, value]) => ({ type: 'put', kind, key, value }) as Change);
  return OBJECT_KINDS.flatMap(list);
}

/** Writes the site's objects as the first revision, as a confirmed plan would. */
async function writeRevision(table: Server, changes: readonly Change[]): Promise<void> {
  const revision = { number: 1, changeId: 'site', changes, operator: 'amina', reason: 'site' };
  const row = (key: string, value: string) => ({ table: CONFIGURATION_TABLE, key, value });
  const head = JSON.stringify({ revision: 1, changeId: revision.changeId });
  const writes = [row(formatRevisionKey(1), encodeRevision(revision)), row(HEAD_KEY, head)];
  const reply = await fetch(`http://${table.host}:${table.port}/v1/transactions`, {
    method: 'POST',
    body: JSON.stringify({ conditions: [], writes }),
  });
  if (!reply.ok) throw new Error(`The table answered ${reply.status}`);
}

function createSiteConfiguration(engines: readonly Server[], plain: Server): Configuration {
  const address = ({ host, port }: Address): Address => ({ host, port });
  const server = (id: string, kind: 'engine' | 'plain', at: Address) =>
    [
      id,
      { id, kind, failureDomain: 'a', address: address(at), checksFencing: true, leaving: false },
    ] as const;
  const engine = ([id, stage]: (typeof STAGES)[number]) =>
    [
      id,
      {
        id,
        acceleratorKind: 'small',
        accelerators: 1,
        uplinkBytesPerSecond: 1e9,
        model: MODEL.id,
        modelVersion: '1',
        layers: { from: stage * STAGE_LAYERS, to: (stage + 1) * STAGE_LAYERS },
        role: 'mixed',
      },
    ] as const;
  return {
    ...createConfiguration(),
    revision: 1,
    failureDomain: new Map([['a', { id: 'a', region: 'nairobi' }]]),
    acceleratorKind: new Map([
      [
        'small',
        {
          id: 'small',
          memoryBytes: 16e9,
          decodeBaseMicros: 100,
          decodeMicrosPerSequence: 10,
          prefillMicrosPerToken: 10,
          maxBatch: 32,
        },
      ],
    ]),
    model: new Map([
      [
        MODEL.id,
        {
          ...MODEL,
          bytesPerLayer: 1e8,
          kvBytesPerTokenLayer: 1000,
          activationBytes: 8000,
        },
      ],
    ]),
    backendServer: new Map([
      ...STAGES.map(([id], at) => server(id, 'engine', engines[at] ?? plain)),
      server('desk-0', 'plain', plain),
    ]),
    engine: new Map(STAGES.map(engine)),
    workspace: new Map([
      [
        'kiambu',
        {
          id: 'kiambu',
          share: 1,
          limits: { requestsPerSecond: 1e4, tokensPerSecond: 1e6, concurrentRequests: 1000 },
          tokenHashes: [hashToken(CALLER_TOKEN)],
        },
      ],
    ]),
    service: new Map([
      [
        'kiambu/drafts',
        {
          kind: 'model',
          id: 'drafts',
          workspace: 'kiambu',
          model: MODEL.id,
          firstTokenTargetMs: 5000,
          tokenIntervalTargetMs: 1000,
          maxTokens: 4096,
        },
      ],
      [
        'kiambu/desk',
        {
          kind: 'plain',
          id: 'desk',
          workspace: 'kiambu',
          backendServers: ['desk-0'],
          contracts: [
            {
              method: 'POST',
              path: '/deposits',
              isIdempotent: false,
              honoursIdempotencyKey: false,
              timeoutMs: 2000,
              maxBodyBytes: 4096,
            },
            {
              method: 'GET',
              path: '/jobs/*',
              isIdempotent: true,
              honoursIdempotencyKey: false,
              timeoutMs: 2000,
              maxBodyBytes: 0,
            },
          ],
        },
      ],
    ]),
  };
}
