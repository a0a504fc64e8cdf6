import type { CallerOutcome, CallerRequestKind } from '../../platform/standins/sendRequest';
import { createSoakLedger } from './soakLedger';

function findViolations(
  kind: CallerRequestKind,
  outcome: CallerOutcome,
  runs: readonly string[],
  stages = '',
): readonly string[] {
  const ledger = createSoakLedger({ layers: 8, streamBody: (id) => `all of ${id}` });
  ledger.recordOutcome('r', kind, outcome);
  for (const server of runs) ledger.recordRun('r', server, stages);
  return ledger.findings();
}

const createWholeOutcome = (body: string, isSealed = true): CallerOutcome => ({
  type: 'whole',
  body,
  isSealed,
});

describe('createSoakLedger', () => {
  it('reports nothing when every guarantee was kept', () => {
    expect(findViolations('once', createWholeOutcome('{"requestId":"r"}'), ['x'])).toEqual([]);
    expect(
      findViolations('stream', createWholeOutcome('all of r'), ['x', 'y'], 'x:1=0-3,y:1=3-8'),
    ).toEqual([]);
    expect(findViolations('once', { type: 'failed', status: 502 }, ['x'])).toEqual([]);
    expect(findViolations('once', { type: 'refused', status: 503 }, [])).toEqual([]);
    expect(findViolations('stream', { type: 'cut' }, ['x'])).toEqual([]);
  });

  it('reports a call that must not be repeated and ran twice', () => {
    expect(findViolations('once', { type: 'cut' }, ['x', 'y'])[0]).toMatch(/^ran twice/);
  });

  it('reports a refusal of a request that ran', () => {
    for (const kind of ['once', 'lookup', 'stream'] as const) {
      expect(findViolations(kind, { type: 'refused', status: 503 }, ['x'])[0]).toMatch(
        /^said not to have run/,
      );
    }
  });

  it('reports answers that are truncated, belong to another request or lack the server’s signature', () => {
    expect(findViolations('stream', createWholeOutcome('all of'), ['x'])[0]).toMatch(
      /^wrong answer/,
    );
    expect(findViolations('lookup', createWholeOutcome('{"requestId":"q"}'), ['x'])[0]).toMatch(
      /^wrong answer/,
    );
    expect(
      findViolations('lookup', createWholeOutcome('{"requestId":"r"}', false), ['x'])[0],
    ).toMatch(/signature/);
  });

  it('reports paths that omit, repeat or reorder layers', () => {
    for (const stages of ['x:1=0-3,y:1=4-8', 'x:1=0-5,y:1=3-8', 'x:1=4-8,y:1=0-4', 'x:1=0-7']) {
      expect(findViolations('stream', { type: 'cut' }, ['x'], stages)[0]).toMatch(/^path/);
    }
  });

  it('reports requests that ran without being sent', () => {
    const ledger = createSoakLedger({ layers: 8, streamBody: () => '' });
    ledger.recordRun('r', 'x', '');
    expect(ledger.findings()[0]).toMatch(/^ran without being sent/);
  });
});
