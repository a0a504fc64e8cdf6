import type { Revision } from './configuration';
import { buildCommitTransaction } from './buildCommitTransaction';
import { resolveCommit } from './resolveCommit';

const revision: Revision = {
  number: 3,
  changeId: 'c3',
  operator: 'amina',
  reason: 'r',
  changes: [],
};

describe('resolveCommit', () => {
  const [written] = buildCommitTransaction(revision, 2).writes;
  const row = { table: 'configuration', key: 'k', value: String(written?.value), version: 1 };

  it('identifies its own change by id', () => {
    expect(resolveCommit(revision, { type: 'rows', rows: [row] })).toBe('committed');
    expect(resolveCommit({ ...revision, changeId: 'other' }, { type: 'rows', rows: [row] })).toBe(
      'lost',
    );
  });

  it('reports an absent row and an unavailable store', () => {
    expect(resolveCommit(revision, { type: 'rows', rows: [] })).toBe('absent');
    expect(resolveCommit(revision, { type: 'unavailable', detail: 'down' })).toBe('unknown');
  });
});
