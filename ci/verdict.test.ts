import { judge, parseKnownRed } from './verdict.cjs';

describe('judge', () => {
  const entries = parseKnownRed(
    '# comment\n\nledger drops a late frame | npm test | delivered twice | 4\n',
  );

  it('passes over a listed failure and names it', () => {
    const verdict = judge([{ name: 'ledger drops a late frame', status: 'failed' }], entries, 0);
    expect(verdict).toEqual({
      passed: 0,
      failed: 0,
      knownRed: ['ledger drops a late frame'],
      complaints: [],
    });
  });

  it('fails on a listed test that passes again', () => {
    const verdict = judge([{ name: 'ledger drops a late frame', status: 'passed' }], entries, 0);
    expect(verdict.complaints).toEqual([
      'KNOWN-RED test passes again, remove its entry: ledger drops a late frame',
    ]);
  });

  it('fails on an entry that names no test', () => {
    const verdict = judge([{ name: 'other', status: 'passed' }], entries, 0);
    expect(verdict.complaints).toEqual(['KNOWN-RED names no test: ledger drops a late frame']);
  });

  it('fails on an entry with a field missing', () => {
    const verdict = judge([{ name: 'a', status: 'failed' }], parseKnownRed('a | npm test'), 0);
    expect(verdict.complaints).toEqual(['KNOWN-RED entry needs four fields: a | npm test']);
  });

  it('fails on a skipped test, an unlisted failure and a broken suite', () => {
    const tests = [
      { name: 'a', status: 'pending' },
      { name: 'b', status: 'failed' },
    ];
    const verdict = judge(tests, [], 1);
    expect(verdict.failed).toBe(2);
    expect(verdict.complaints).toEqual(['Test was not run (pending): a']);
  });

  it('fails when no test ran', () => {
    expect(judge([], [], 0).complaints).toEqual(['No test ran.']);
  });
});
