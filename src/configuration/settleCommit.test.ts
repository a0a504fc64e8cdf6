import type { Revision } from './configuration';
import { commitRevision } from './commitRevision';
import { settleCommit } from './settleCommit';

const revision: Revision = {
  number: 3,
  changeId: 'c3',
  operator: 'amina',
  reason: 'r',
  changes: [],
};

describe('settleCommit', () => {
  const [written] = commitRevision(revision, 2).writes;
  const row = { table: 'configuration', key: 'k', value: String(written?.value), version: 1 };

  it('knows its own change by its id', () => {
    expect(settleCommit(revision, { type: 'rows', rows: [row] })).toBe('committed');
    expect(settleCommit({ ...revision, changeId: 'other' }, { type: 'rows', rows: [row] })).toBe(
      'lost',
    );
  });

  it('says what is not settled yet', () => {
    expect(settleCommit(revision, { type: 'rows', rows: [] })).toBe('absent');
    expect(settleCommit(revision, { type: 'unavailable', detail: 'down' })).toBe('unknown');
  });
});
