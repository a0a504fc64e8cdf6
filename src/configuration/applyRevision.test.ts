import { applyRevision } from './applyRevision';
import type { Revision } from './configuration';
import { createConfiguration } from './createConfiguration';

const put: Revision = {
  number: 1,
  changeId: 'c1',
  operator: 'amina',
  reason: 'first domain',
  changes: [
    { type: 'put', kind: 'failureDomain', key: 'nbo-a', value: { id: 'nbo-a', region: 'nbo' } },
  ],
};

describe('applyRevision', () => {
  it('puts and removes objects and shares the kinds that it does not change', () => {
    const empty = createConfiguration();
    const first = applyRevision(empty, put);
    expect([...first.failureDomain.keys()]).toEqual(['nbo-a']);
    expect(first.engine).toBe(empty.engine);
    const second = applyRevision(first, {
      ...put,
      number: 2,
      changes: [{ type: 'remove', kind: 'failureDomain', key: 'nbo-a' }],
    });
    expect(second.failureDomain.size).toBe(0);
    expect(first.failureDomain.size).toBe(1);
  });

  it('throws on a revision that is not the next one', () => {
    expect(() => applyRevision(createConfiguration(), { ...put, number: 2 })).toThrow(
      'Revision 2 does not follow revision 0',
    );
  });
});
