import { createListedServer } from '../chains/testEngine';
import type { ServiceProfile } from '../catalog/catalog';
import { testModel } from '../chains/testModel';
import type { BackendProtocol, HealthResult, ReportResult } from './backendProtocol';
import { createServerRegistry } from './createServerRegistry';
import { createServerProbes } from './createServerProbes';
import { createFirstEventDelays } from './createFirstEventDelays';

const report: ReportResult = {
  type: 'report',
  requestLimit: { type: 'none' },
  report: {
    bornMs: 5,
    acceptedOrders: 0,
    isBusy: false,
    queued: 0,
    running: 1,
    memoryShare: 0.1,
    layers: undefined,
    pace: 1,
    stalled: [],
  },
};

/** Profiles of services, by how their servers show that they run. */
const profiles = {
  engine: { name: 'drafts', model: testModel, healthPath: '/health' },
  plain: { name: 'drafts', model: undefined, healthPath: '/health' },
  withoutHealthPath: { name: 'drafts', model: undefined, healthPath: undefined },
};

const createHealth = (serverId: string | undefined, isHealthy = true): HealthResult => ({
  type: 'answered',
  serverId,
  isHealthy,
});

function createProbes(profile: ServiceProfile = profiles.engine) {
  let nowMs = 0;
  let answer: ReportResult = report;
  let health: HealthResult = { type: 'silent' };
  let connection: Awaited<ReturnType<BackendProtocol['checkConnection']>> = 'accepted';
  const connected: string[] = [];
  const asked: number[] = [];
  const healthAsked: [number, string][] = [];
  const now = (): number => nowMs;
  const registry = createServerRegistry({
    now,
    firstEventDelays: createFirstEventDelays(now),
    log: () => undefined,
  });
  registry.list([createListedServer('x')]);
  const protocol = {
    fetchReport: () => {
      asked.push(nowMs);
      return Promise.resolve(answer);
    },
    checkHealth: (_address, healthPath) => {
      healthAsked.push([nowMs, healthPath]);
      return Promise.resolve(health);
    },
    checkConnection: (address) => {
      connected.push(address);
      return Promise.resolve(connection);
    },
  } satisfies Partial<BackendProtocol>;
  const probes = createServerProbes({
    registry,
    protocol: protocol as unknown as BackendProtocol,
    profileOf: () => profile,
    now,
    log: () => undefined,
  });
  const queryAt = async (ms: number, next: ReportResult = report): Promise<void> => {
    nowMs = ms;
    answer = next;
    await probes.ask('x', 'lost_run');
  };
  /** Runs the recheck once, and lets its queries complete. */
  const recheckAt = async (ms: number, results: Results = {}, intervalMs = 250): Promise<void> => {
    nowMs = ms;
    answer = results.report ?? { type: 'silent' };
    health = results.health ?? { type: 'silent' };
    probes.recheckSuspected(intervalMs);
    await new Promise(setImmediate);
  };
  const isSuspected = (): boolean => registry.suspicions().length > 0;
  const setConnection = (next: typeof connection): void => {
    connection = next;
  };
  return {
    registry,
    probes,
    asked,
    healthAsked,
    connected,
    setConnection,
    queryAt,
    recheckAt,
    isSuspected,
  };
}

/** What a server answers to each query; it is silent without. */
interface Results {
  readonly report?: ReportResult;
  readonly health?: HealthResult;
}

describe('createServerProbes', () => {
  it('only connects to a server whose limit leaves no query', async () => {
    const { registry, asked, connected, setConnection, queryAt, isSuspected } = createProbes();
    const limit = { type: 'limit', perSecond: 1 } as const;
    registry.recordLimit('x', { limit, sentMs: 0, source: 'request' });
    await queryAt(0);
    expect([asked, connected, isSuspected()]).toEqual([[], ['x:1'], false]);
    setConnection('refused');
    await queryAt(400);
    expect([asked, isSuspected()]).toEqual([[], true]);
    setConnection('accepted');
    await queryAt(499);
    expect([asked, isSuspected()]).toEqual([[], true]);
    await queryAt(900);
    expect([asked, isSuspected()]).toEqual([[900], false]);
  });

  it('queries a server once for all streams that stall together', async () => {
    const { asked, queryAt } = createProbes();
    for (const ms of [0, 40, 200, 399, 400]) await queryAt(ms);
    expect(asked).toEqual([0, 400]);
  });

  it('queries a server without an answer again soon and clears the suspicion once it answers', async () => {
    const { registry, asked, queryAt } = createProbes();
    await queryAt(0, { type: 'refused' });
    expect(registry.suspicions()).toHaveLength(1);
    await queryAt(60);
    await queryAt(100);
    expect(asked).toEqual([0, 100]);
    expect(registry.suspicions()).toHaveLength(0);
  });

  it('queries only servers without a recent report before their first use', async () => {
    const { probes, asked } = createProbes();
    expect(await probes.askUnreported(['x'])).toBe(true);
    expect(await probes.askUnreported(['x'])).toBe(false);
    expect(asked).toEqual([0]);
  });
});

describe('a suspected server', () => {
  const notFound: ReportResult = { type: 'failed', detail: 'status 404' };

  it('is used again after its report if it is an engine', async () => {
    const { registry, healthAsked, recheckAt, isSuspected } = createProbes(profiles.engine);
    registry.suspect('x', 'silent');
    await recheckAt(250, { report: notFound });
    expect(isSuspected()).toBe(true);
    await recheckAt(500, { report });
    expect(isSuspected()).toBe(false);
    expect(healthAsked).toEqual([]);
  });

  it.each([
    ['healthy', createHealth('x')],
    ['full', createHealth('x', false)],
    ['without an id', createHealth(undefined)],
  ])('is used again after an answer at its health path: %s', async (_, health) => {
    const { registry, asked, healthAsked, recheckAt, isSuspected } = createProbes(profiles.plain);
    registry.suspect('x', 'unreached');
    await recheckAt(250, { health });
    expect(isSuspected()).toBe(false);
    expect([asked, healthAsked]).toEqual([[], [[250, '/health']]]);
  });

  it('is used again after any answer if its service has no health path', async () => {
    const { registry, healthAsked, recheckAt, isSuspected } = createProbes(
      profiles.withoutHealthPath,
    );
    registry.suspect('x', 'unreached');
    await recheckAt(250, { report: { type: 'refused' } });
    expect(isSuspected()).toBe(true);
    await recheckAt(500, { report: notFound });
    expect(isSuspected()).toBe(false);
    expect(healthAsked).toEqual([]);
  });

  it('stays suspected if another server answers at its address', async () => {
    const { registry, healthAsked, recheckAt, isSuspected } = createProbes(profiles.plain);
    registry.suspect('x', 'unreached');
    await recheckAt(250, { health: createHealth('y') });
    expect(healthAsked).toHaveLength(1);
    expect(isSuspected()).toBe(true);
  });

  it.each([
    ['refused', { type: 'refused' }],
    ['silent', { type: 'silent' }],
  ] as const)('stays suspected if its health check is %s', async (_, health) => {
    const { registry, healthAsked, recheckAt, isSuspected } = createProbes(profiles.plain);
    registry.suspect('x', 'unreached');
    await recheckAt(250, { health });
    expect(healthAsked).toHaveLength(1);
    expect(isSuspected()).toBe(true);
  });
});

describe('recheckSuspected', () => {
  const runFor = async (
    { registry, recheckAt }: ReturnType<typeof createProbes>,
    untilMs: number,
  ): Promise<void> => {
    registry.suspect('x', 'unreached');
    for (let ms = 0; ms <= untilMs; ms += 250) await recheckAt(ms);
  };

  it('queries an engine at each interval', async () => {
    const probes = createProbes(profiles.engine);
    await runFor(probes, 1_000);
    expect(probes.asked).toEqual([0, 250, 500, 750, 1_000]);
  });

  it('queries a plain server less often the longer it is silent, at least every two seconds', async () => {
    const expected = [0, 250, 500, 1_000, 2_000, 4_000, 6_000];
    const plain = createProbes(profiles.plain);
    await runFor(plain, 7_000);
    expect(plain.healthAsked.map(([ms]) => ms)).toEqual(expected);
    const withoutHealthPath = createProbes(profiles.withoutHealthPath);
    await runFor(withoutHealthPath, 7_000);
    expect(withoutHealthPath.asked).toEqual(expected);
  });

  it('does not query a plain server more often than the interval', async () => {
    const { registry, healthAsked, recheckAt } = createProbes(profiles.plain);
    registry.suspect('x', 'unreached');
    for (let ms = 0; ms <= 7_000; ms += 250) await recheckAt(ms, {}, 3_000);
    expect(healthAsked.map(([ms]) => ms)).toEqual([0, 3_000, 6_000]);
  });
});
