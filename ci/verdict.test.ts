import { evaluateRun, parseKnownRed } from './verdict.cjs';

describe('evaluateRun', () => {
  const entries = parseKnownRed(
    '# comment\n\nledger drops a late frame | npm test | delivered twice | 4\n',
  );

  it('tolerates a listed failure and reports its name', () => {
    const verdict = evaluateRun(
      [{ name: 'ledger drops a late frame', status: 'failed' }],
      entries,
      0,
    );
    expect(verdict).toEqual({
      passed: 0,
      failed: 0,
      knownRed: ['ledger drops a late frame'],
      problems: [],
    });
  });

  it('fails on a listed test that passes again', () => {
    const verdict = evaluateRun(
      [{ name: 'ledger drops a late frame', status: 'passed' }],
      entries,
      0,
    );
    expect(verdict.problems).toEqual([
      'KNOWN-RED test passes again, remove its entry: ledger drops a late frame',
    ]);
  });

  it('fails on an entry for a test that does not exist', () => {
    const verdict = evaluateRun([{ name: 'other', status: 'passed' }], entries, 0);
    expect(verdict.problems).toEqual(['KNOWN-RED names no test: ledger drops a late frame']);
  });

  it('fails on an entry with a missing field', () => {
    const verdict = evaluateRun(
      [{ name: 'a', status: 'failed' }],
      parseKnownRed('a | npm test'),
      0,
    );
    expect(verdict.problems).toEqual(['KNOWN-RED entry needs four fields: a | npm test']);
  });

  it('fails on a skipped test, an unlisted failure and a broken suite', () => {
    const tests = [
      { name: 'a', status: 'pending' },
      { name: 'b', status: 'failed' },
    ];
    const verdict = evaluateRun(tests, [], 1);
    expect(verdict.failed).toBe(2);
    expect(verdict.problems).toEqual(['Test was not run (pending): a']);
  });

  it('fails when no test ran', () => {
    expect(evaluateRun([], [], 0).problems).toEqual(['No test ran.']);
  });
});
