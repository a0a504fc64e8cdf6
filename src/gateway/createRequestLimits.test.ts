import { createRequestLimits } from './createRequestLimits';
import type { RequestLimit } from './backendProtocol';

const server = { id: 'x', bornMs: 5 };

function createRecord() {
  let nowMs = 1_000;
  const lines: string[] = [];
  const limits = createRequestLimits({
    now: () => nowMs,
    log: (message) => lines.push(message),
    count: () => undefined,
  });
  return {
    lines,
    record: (limit: RequestLimit, { atMs, sentMs }: { atMs: number; sentMs: number }) => {
      nowMs = atMs;
      limits.record({ server, limit, sentMs, source: 'request' });
    },
  };
}

describe('createRequestLimits', () => {
  it('logs a limit when it is announced, changes and ends', () => {
    const { record, lines } = createRecord();
    record({ type: 'none' }, { atMs: 1_000, sentMs: 990 });
    record({ type: 'limit', perSecond: 4.5 }, { atMs: 1_100, sentMs: 1_090 });
    record({ type: 'limit', perSecond: 4.5 }, { atMs: 1_200, sentMs: 1_190 });
    record({ type: 'limit', perSecond: 2 }, { atMs: 1_300, sentMs: 1_290 });
    record({ type: 'none' }, { atMs: 1_400, sentMs: 1_390 });
    expect(lines).toEqual(['server announces a limit', 'server announces a limit', 'limit lifted']);
  });

  it('keeps a limit when a reply to an earlier request states none', () => {
    const { record, lines } = createRecord();
    record({ type: 'limit', perSecond: 4.5 }, { atMs: 1_100, sentMs: 1_090 });
    record({ type: 'none' }, { atMs: 1_200, sentMs: 1_095 });
    expect(lines).toEqual(['server announces a limit']);
  });

  it('keeps a limit when a reply states one that is no number', () => {
    const { record, lines } = createRecord();
    record({ type: 'limit', perSecond: 4.5 }, { atMs: 1_100, sentMs: 1_090 });
    record({ type: 'malformed', text: 'few' }, { atMs: 1_200, sentMs: 1_190 });
    expect(lines).toEqual(['server announces a limit', 'limit not usable']);
  });
});
