import fc from 'fast-check';
import { createFleet } from '../vms/createFleet';
import { applyRevisions } from './applyRevisions';
import type { Revision } from './configuration';

function revisionOf(number: number): Revision {
  return {
    number,
    changeId: `c${number}`,
    operator: 'amina',
    reason: 'test',
    changes: [
      { type: 'put', kind: 'failureDomain', key: 'a', value: { id: 'a', region: `r${number}` } },
    ],
  };
}

describe('applyRevisions', () => {
  it('never reverts, whichever revisions arrive in whichever order', () => {
    const batches = fc.array(fc.array(fc.integer({ min: 1, max: 12 }), { maxLength: 8 }));
    fc.assert(
      fc.property(batches, (lists) => {
        let state = createFleet().configuration;
        for (const list of lists) {
          const next = applyRevisions(state, list.map(revisionOf));
          expect(next.applied.revision).toBeGreaterThanOrEqual(state.applied.revision);
          const region = next.applied.failureDomain.get('a')?.region ?? 'r0';
          expect(region).toBe(`r${next.applied.revision}`);
          state = next;
        }
      }),
      { seed: 1, numRuns: 300 },
    );
  });

  it('stops at a gap until the missing revision arrives', () => {
    const state = applyRevisions(createFleet().configuration, [1, 2, 4].map(revisionOf));
    expect(state.applied.revision).toBe(2);
    expect(applyRevisions(state, [3, 4].map(revisionOf)).applied.revision).toBe(4);
  });
});
