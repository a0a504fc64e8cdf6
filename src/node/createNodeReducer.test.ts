import type { Decision } from '../decisions/decision';
import { createNodeReducer } from './createNodeReducer';
import type { SideEffects, SideEvents, SideName } from './nodeMessage';

type Log = readonly string[];

/** A side that records the types of its events and answers each with fixed effects. */
function recorder<Side extends SideName>(effects: readonly SideEffects[Side][]) {
  return (state: Log, event: SideEvents[Side]): Decision<Log, SideEffects[Side]> => ({
    state: [...state, event.type],
    effects,
  });
}

const at = { atMs: 5, seed: 9 };
const empty = { router: [], operations: [], fleet: [], plans: [] };

describe('createNodeReducer', () => {
  it('carries an effect of one side to the others and keeps it from the shell', () => {
    const reduce = createNodeReducer<Log, Log, Log, Log>({
      router: recorder<'router'>([]),
      operations: recorder<'operations'>([]),
      plans: recorder<'plans'>([]),
      fleet: recorder<'fleet'>([
        { type: 'accepting-changed', isAccepting: false, reason: 'draining' },
        { type: 'list-vms' },
      ]),
    });
    const { state, effects } = reduce(empty, {
      side: 'fleet',
      event: { type: 'drain-started', ...at },
    });
    expect(state.router).toEqual(['accepting-changed']);
    expect(state.operations).toEqual(['accepting-changed']);
    expect(effects).toEqual([{ side: 'fleet', effect: { type: 'list-vms' } }]);
  });

  it('refuses sides that tell each other the same thing for ever', () => {
    const reduce = createNodeReducer<Log, Log, Log, Log>({
      router: (state) => ({ state, effects: [{ type: 'share-use', uses: [] }] }),
      operations: recorder<'operations'>([]),
      plans: recorder<'plans'>([]),
      fleet: (state) => ({ state, effects: [{ type: 'use-learned', uses: [], acceptingVms: 1 }] }),
    });
    expect(() =>
      reduce(empty, { side: 'fleet', event: { type: 'use-shared', uses: [], ...at } }),
    ).toThrow('Sides loop on use-shared');
  });
});
