import { createListedServer } from '../chains/testEngine';
import type { BackendProtocol, ReportResult } from './backendProtocol';
import { createServerRegistry } from './createServerRegistry';
import { createServerProbes } from './createServerProbes';
import { createFirstEventDelays } from './createFirstEventDelays';

const report: ReportResult = {
  type: 'report',
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

function createProbes() {
  let nowMs = 0;
  let answer: ReportResult = report;
  const asked: number[] = [];
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
  } satisfies Partial<BackendProtocol>;
  const probes = createServerProbes({
    registry,
    protocol: protocol as unknown as BackendProtocol,
    now,
    log: () => undefined,
  });
  const queryAt = async (ms: number, next: ReportResult = report): Promise<void> => {
    nowMs = ms;
    answer = next;
    await probes.ask('x');
  };
  return { registry, probes, asked, queryAt };
}

describe('createServerProbes', () => {
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
