import type { CallerOutcome, CallerRequestKind } from '../../platform/standins/sendRequest';
import { createSoakLedger } from './soakLedger';

function judge(
  kind: CallerRequestKind,
  outcome: CallerOutcome,
  runs: readonly string[],
  stages = '',
): readonly string[] {
  const ledger = createSoakLedger({ layers: 8, streamBody: (id) => `all of ${id}` });
  ledger.noteOutcome('r', kind, outcome);
  for (const server of runs) ledger.noteRun('r', server, stages);
  return ledger.findings();
}

const whole = (body: string, isSealed = true): CallerOutcome => ({ type: 'whole', body, isSealed });

describe('createSoakLedger', () => {
  it('finds nothing where every promise was kept', () => {
    expect(judge('once', whole('{"requestId":"r"}'), ['x'])).toEqual([]);
    expect(judge('stream', whole('all of r'), ['x', 'y'], 'x:1=0-3,y:1=3-8')).toEqual([]);
    expect(judge('once', { type: 'failed', status: 502 }, ['x'])).toEqual([]);
    expect(judge('once', { type: 'refused', status: 503 }, [])).toEqual([]);
    expect(judge('stream', { type: 'cut' }, ['x'])).toEqual([]);
  });

  it('finds work that must not repeat and did', () => {
    expect(judge('once', { type: 'cut' }, ['x', 'y'])[0]).toMatch(/^ran twice/);
  });

  it('finds refusals that are not true', () => {
    for (const kind of ['once', 'lookup', 'stream'] as const) {
      expect(judge(kind, { type: 'refused', status: 503 }, ['x'])[0]).toMatch(
        /^said not to have run/,
      );
    }
  });

  it('finds answers that are cut, foreign or not the server’s own', () => {
    expect(judge('stream', whole('all of'), ['x'])[0]).toMatch(/^wrong answer/);
    expect(judge('lookup', whole('{"requestId":"q"}'), ['x'])[0]).toMatch(/^wrong answer/);
    expect(judge('lookup', whole('{"requestId":"r"}', false), ['x'])[0]).toMatch(/signature/);
  });

  it('finds paths that leave out, repeat or reorder layers', () => {
    for (const stages of ['x:1=0-3,y:1=4-8', 'x:1=0-5,y:1=3-8', 'x:1=4-8,y:1=0-4', 'x:1=0-7']) {
      expect(judge('stream', { type: 'cut' }, ['x'], stages)[0]).toMatch(/^path/);
    }
  });

  it('finds requests that nobody sent', () => {
    const ledger = createSoakLedger({ layers: 8, streamBody: () => '' });
    ledger.noteRun('r', 'x', '');
    expect(ledger.findings()[0]).toMatch(/^ran without being sent/);
  });
});
