import { createFleet } from '../vms/createFleet';
import { applyRevision } from './applyRevision';
import type { Change, Configuration, Revision } from './configuration';
import type { ConfigurationState } from './configurationState';
import { createConfiguration } from './createConfiguration';
import { finishSnapshot } from './finishSnapshot';
import { joinSnapshot } from './joinSnapshot';
import { sliceSnapshot } from './sliceSnapshot';

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

function join(state: ConfigurationState, configuration: Configuration, after: string) {
  const joined = joinSnapshot(state, sliceSnapshot(configuration, after));
  if (joined.type !== 'joined') throw new Error(joined.type);
  return joined;
}

describe('finishSnapshot', () => {
  it('takes over a snapshot that came in chunks', () => {
    let state = createFleet().configuration;
    let next: string | null = '';
    while (next !== null) ({ state, next } = join(state, large, next));
    const finished = finishSnapshot(state, []);
    expect(finished.applied).toEqual(large);
  });

  it('puts right what changed, came and went between two chunks', () => {
    const change = revisionOf(2, [
      put('d0001', 'new'),
      put('a-first', 'new'),
      { type: 'remove', kind: 'failureDomain', key: 'd0002' },
      { type: 'remove', kind: 'failureDomain', key: 'd1100' },
    ]);
    const later = applyRevision(large, change);
    const first = join(createFleet().configuration, large, '');
    const second = join(first.state, later, first.next ?? '');
    const third = join(second.state, later, second.next ?? '');
    expect(third.next).toBeNull();
    expect(finishSnapshot(third.state, []).applied.revision).toBe(0);
    const finished = finishSnapshot(third.state, [change]);
    expect(finished.applied.revision).toBe(2);
    expect(new Map([...finished.applied.failureDomain].sort())).toEqual(
      new Map([...later.failureDomain].sort()),
    );
  });

  it('refuses a chunk that was not asked for', () => {
    const first = join(createFleet().configuration, large, '');
    const third = sliceSnapshot(large, 'failureDomain/d1000');
    expect(joinSnapshot(first.state, third).type).toBe('stale');
  });
});
