import { createListedServer } from '../chains/testEngine';
import type { BackendProtocol, ReportResult } from './backendProtocol';
import { createServerBoard } from './createServerBoard';
import { createServerProbes } from './createServerProbes';
import { createStartTimes } from './createStartTimes';

const report: ReportResult = {
  type: 'report',
  report: {
    bornMs: 5,
    orders: 0,
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
  const board = createServerBoard({
    now,
    startTimes: createStartTimes(now),
    onBelief: () => undefined,
  });
  board.list([createListedServer('x')]);
  const protocol = {
    fetchReport: () => {
      asked.push(nowMs);
      return Promise.resolve(answer);
    },
  } satisfies Partial<BackendProtocol>;
  const probes = createServerProbes({
    board,
    protocol: protocol as unknown as BackendProtocol,
    now,
    log: () => undefined,
  });
  const askAt = async (ms: number, next: ReportResult = report): Promise<void> => {
    nowMs = ms;
    answer = next;
    await probes.ask('x');
  };
  return { board, probes, asked, askAt };
}

describe('createServerProbes', () => {
  it('asks once for all streams that stall together', async () => {
    const { asked, askAt } = createProbes();
    for (const ms of [0, 40, 200, 399, 400]) await askAt(ms);
    expect(asked).toEqual([0, 400]);
  });

  it('asks a server that does not answer again soon, and clears it once it does', async () => {
    const { board, asked, askAt } = createProbes();
    await askAt(0, { type: 'refused' });
    expect(board.suspicions()).toHaveLength(1);
    await askAt(60);
    await askAt(100);
    expect(asked).toEqual([0, 100]);
    expect(board.suspicions()).toHaveLength(0);
  });

  it('asks before their first use only servers that have said nothing lately', async () => {
    const { probes, asked } = createProbes();
    expect(await probes.askUnknown(['x'])).toBe(true);
    expect(await probes.askUnknown(['x'])).toBe(false);
    expect(asked).toEqual([0]);
  });
});
