import type { Revision } from './configuration';
import { decodeRevision } from './decodeRevision';
import { encodeRevision } from './encodeRevision';

const revision: Revision = {
  number: 7,
  changeId: 'c7',
  operator: 'amina',
  reason: 'second domain',
  changes: [
    { type: 'put', kind: 'failureDomain', key: 'nbo-b', value: { id: 'nbo-b', region: 'nbo' } },
    { type: 'remove', kind: 'workspace', key: 'w1' },
  ],
};

describe('decodeRevision', () => {
  it('reads back what encodeRevision wrote', () => {
    expect(decodeRevision(encodeRevision(revision))).toEqual({ type: 'decoded', revision });
  });

  it('refuses text that is not JSON, a wrong shape and a wrong object', () => {
    const wrong = { ...revision, changes: [{ ...revision.changes[0], value: { id: 'nbo-b' } }] };
    for (const text of ['{', '{}', JSON.stringify(wrong)]) {
      expect(decodeRevision(text).type).toBe('malformed');
    }
  });
});
