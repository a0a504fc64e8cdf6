import { createSuspicions } from './createSuspicions';

const server = { id: 'x', address: 'x:1', bornMs: 5 };

function createRecord() {
  let nowMs = 100;
  const lines: unknown[] = [];
  const counts: string[] = [];
  const suspicions = createSuspicions({
    now: () => nowMs,
    log: (message, fields) => lines.push([message, fields]),
    count: (counter, label) => counts.push(`${counter} ${label}`),
  });
  return {
    suspicions,
    lines,
    counts,
    setTime: (ms: number) => {
      nowMs = ms;
    },
  };
}

describe('createSuspicions', () => {
  it('records the first reason and reports how long the suspicion lasted', () => {
    const { suspicions, lines, counts, setTime } = createRecord();
    expect(suspicions.raise(server, 'silent', undefined)).toBe(true);
    expect(suspicions.raise(server, 'unreached', 'connect timeout')).toBe(false);
    setTime(880);
    expect(suspicions.lift('x')).toBe(true);
    expect(suspicions.lift('x')).toBe(false);
    expect(counts).toEqual(['suspicions silent', 'suspicions_lifted silent']);
    expect(lines[1]).toEqual([
      'server answers again',
      { server: 'x', reason: 'silent', suspectedMs: 780 },
    ]);
  });

  it('lets a restart replace an earlier reason', () => {
    const { suspicions } = createRecord();
    suspicions.raise(server, 'silent', undefined);
    expect(suspicions.raise(server, 'restarted', undefined)).toBe(false);
    suspicions.raise(server, 'silent', undefined);
    expect(suspicions.list()).toEqual([{ id: 'x', bornMs: 5, sinceMs: 100, reason: 'restarted' }]);
  });

  it('drops suspicions of other incarnations', () => {
    const { suspicions } = createRecord();
    suspicions.raise(server, 'silent', undefined);
    suspicions.retain(new Map([['x', { bornMs: 5 }]]));
    expect(suspicions.has('x')).toBe(true);
    suspicions.retain(new Map([['x', { bornMs: 6 }]]));
    expect(suspicions.list()).toEqual([]);
  });
});
