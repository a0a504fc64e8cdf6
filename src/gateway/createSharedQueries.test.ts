import { createSharedQueries } from './createSharedQueries';

function createQueries(openSharedMs?: number) {
  let nowMs = 0;
  const started: number[] = [];
  const pending: ((isAnswered: boolean) => void)[] = [];
  const queries = createSharedQueries<boolean>({
    query: () => {
      started.push(nowMs);
      return new Promise((resolve) => pending.push(resolve));
    },
    isAnswer: (isAnswered) => isAnswered,
    ...(openSharedMs === undefined ? {} : { openSharedMs }),
    now: () => nowMs,
  });
  const askAt = (...times: readonly number[]): void => {
    for (const ms of times) {
      nowMs = ms;
      void queries.ask('x', 'suspected');
    }
  };
  const setNow = (ms: number): void => {
    nowMs = ms;
  };
  const finish = async (index: number, isAnswered: boolean): Promise<void> => {
    pending[index]?.(isAnswered);
    await Promise.resolve();
  };
  return { queries, started, askAt, setNow, finish };
}

describe('createSharedQueries', () => {
  it('repeats a query without a result after 100 ms', () => {
    const { started, askAt } = createQueries();
    askAt(0, 99, 100);
    expect(started).toEqual([0, 100]);
  });

  it('shares an answer for 400 ms, even if it came after the query was repeated', async () => {
    const { started, askAt, finish } = createQueries();
    askAt(0, 100);
    await finish(0, true);
    askAt(399, 400);
    expect(started).toEqual([0, 100, 400]);
  });

  it('keeps the time of a repeated query if the first was in vain', async () => {
    const { queries, askAt, finish } = createQueries();
    askAt(0, 100);
    await finish(0, false);
    expect(queries.askedMs('x')).toBe(100);
  });

  it('never repeats an open query that is shared without limit, but does once it was in vain', async () => {
    const { started, askAt, finish } = createQueries(Number.POSITIVE_INFINITY);
    askAt(0, 900);
    await finish(0, false);
    askAt(950);
    expect(started).toEqual([0, 950]);
  });

  it('forgets queries older than five seconds', () => {
    const { queries, askAt, setNow } = createQueries();
    askAt(0);
    setNow(1);
    void queries.ask('y', 'suspected');
    setNow(5_001);
    queries.removeOld();
    expect([queries.askedMs('x'), queries.askedMs('y')]).toEqual([Number.NEGATIVE_INFINITY, 1]);
  });
});
