import { createFleet } from '../vms/createFleet';
import { applyRevision } from './applyRevision';
import type { Change, Configuration, Revision } from './configuration';
import type { ConfigurationState } from './configurationState';
import { createConfiguration } from './createConfiguration';
import { applySnapshot } from './applySnapshot';
import { addSnapshotChunk } from './addSnapshotChunk';
import { createSnapshotChunk } from './createSnapshotChunk';

function put(key: string, region: string): Change {
  return { type: 'put', kind: 'failureDomain', key, value: { id: key, region } };
}

function revisionOf(number: number, changes: readonly Change[]): Revision {
  return { number, changeId: `c${number}`, operator: 'amina', reason: 'test', changes };
}

const keys = Array.from({ length: 1200 }, (_, index) => `d${String(index).padStart(4, '0')}`);
const large = applyRevision(
  createConfiguration(),
  revisionOf(
    1,
    keys.map((key) => put(key, 'old')),
  ),
);

function addChunk(state: ConfigurationState, configuration: Configuration, after: string) {
  const added = addSnapshotChunk(state, createSnapshotChunk(configuration, after));
  if (added.type !== 'joined') throw new Error(added.type);
  return added;
}

describe('applySnapshot', () => {
  it('applies a snapshot received in chunks', () => {
    let state = createFleet().configuration;
    let next: string | null = '';
    while (next !== null) ({ state, next } = addChunk(state, large, next));
    const result = applySnapshot(state, []);
    expect(result.applied).toEqual(large);
  });

  it('corrects objects changed, added and removed between two chunks', () => {
    const change = revisionOf(2, [
      put('d0001', 'new'),
      put('a-first', 'new'),
      { type: 'remove', kind: 'failureDomain', key: 'd0002' },
      { type: 'remove', kind: 'failureDomain', key: 'd1100' },
    ]);
    const later = applyRevision(large, change);
    const first = addChunk(createFleet().configuration, large, '');
    const second = addChunk(first.state, later, first.next ?? '');
    const third = addChunk(second.state, later, second.next ?? '');
    expect(third.next).toBeNull();
    expect(applySnapshot(third.state, []).applied.revision).toBe(0);
    const result = applySnapshot(third.state, [change]);
    expect(result.applied.revision).toBe(2);
    expect(new Map([...result.applied.failureDomain].sort())).toEqual(
      new Map([...later.failureDomain].sort()),
    );
  });

  it('rejects a chunk that was not requested', () => {
    const first = addChunk(createFleet().configuration, large, '');
    const third = createSnapshotChunk(large, 'failureDomain/d1000');
    expect(addSnapshotChunk(first.state, third).type).toBe('stale');
  });
});
