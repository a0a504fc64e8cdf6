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
  it('decodes the output of encodeRevision', () => {
    expect(decodeRevision(encodeRevision(revision))).toEqual({ type: 'decoded', revision });
  });

  it('keeps the throughput that a model service needs', () => {
    const service = {
      kind: 'model',
      id: 'drafter',
      workspace: 'w1',
      model: 'm',
      firstTokenTargetMs: 1300,
      tokenIntervalTargetMs: 26,
      neededTokensPerSecond: 800,
      maxTokens: 4096,
    } as const;
    const change = { type: 'put', kind: 'service', key: 'w1/drafter', value: service } as const;
    const withService = { ...revision, changes: [change] };
    expect(decodeRevision(encodeRevision(withService))).toEqual({
      type: 'decoded',
      revision: withService,
    });
  });

  it('rejects text that is not JSON, an invalid revision and an invalid object', () => {
    const invalid = { ...revision, changes: [{ ...revision.changes[0], value: { id: 'nbo-b' } }] };
    for (const text of ['{', '{}', JSON.stringify(invalid)]) {
      expect(decodeRevision(text).type).toBe('malformed');
    }
  });
});
