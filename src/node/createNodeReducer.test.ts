import type { Decision } from '../decisions/decision';
import { createNodeReducer } from './createNodeReducer';
import type { ComponentEffects, ComponentEvents, ComponentName } from './nodeMessage';

type Log = readonly string[];

/** A reducer that records the types of its events and returns the same effects for each. */
function createRecorder<Component extends ComponentName>(
  effects: readonly ComponentEffects[Component][],
) {
  return (
    state: Log,
    event: ComponentEvents[Component],
  ): Decision<Log, ComponentEffects[Component]> => ({
    state: [...state, event.type],
    effects,
  });
}

const occurrence = { atMs: 5, seed: 9 };
const initialState = { lastEventAtMs: undefined, router: [], operations: [], fleet: [], plans: [] };

describe('createNodeReducer', () => {
  it('turns an effect of one component into events of others and does not return it', () => {
    const reduce = createNodeReducer<Log, Log, Log, Log>({
      router: createRecorder<'router'>([]),
      operations: createRecorder<'operations'>([]),
      plans: createRecorder<'plans'>([]),
      fleet: createRecorder<'fleet'>([
        { type: 'accepting-changed', isAccepting: false, reason: 'draining' },
        { type: 'list-vms' },
      ]),
    });
    const { state, effects } = reduce(initialState, {
      side: 'fleet',
      event: { type: 'drain-started', ...occurrence },
    });
    expect(state.router).toEqual(['accepting-changed']);
    expect(state.operations).toEqual(['accepting-changed']);
    expect(effects).toEqual([{ side: 'fleet', effect: { type: 'list-vms' } }]);
  });

  it('notifies the fleet component of a pause before other components see events queued during it', () => {
    const reduce = createNodeReducer<Log, Log, Log, Log>({
      router: createRecorder<'router'>([]),
      operations: createRecorder<'operations'>([]),
      plans: createRecorder<'plans'>([]),
      fleet: createRecorder<'fleet'>([
        { type: 'accepting-changed', isAccepting: false, reason: 'woken' },
      ]),
    });
    const left = { type: 'caller-left', request: 'r1', seed: 9 } as const;
    const before = reduce(initialState, { side: 'router', event: { ...left, atMs: 5 } }).state;
    const soon = reduce(before, { side: 'router', event: { ...left, atMs: 400 } }).state;
    expect(soon).toMatchObject({ router: ['caller-left', 'caller-left'], fleet: [] });
    const late = reduce(soon, { side: 'router', event: { ...left, atMs: 2000 } }).state;
    expect(late.fleet).toEqual(['timer-fired']);
    expect(late.router.slice(2)).toEqual(['accepting-changed', 'caller-left']);
  });

  it('throws when two components send each other events without end', () => {
    const reduce = createNodeReducer<Log, Log, Log, Log>({
      router: (state) => ({ state, effects: [{ type: 'share-use', usage: [] }] }),
      operations: createRecorder<'operations'>([]),
      plans: createRecorder<'plans'>([]),
      fleet: (state) => ({ state, effects: [{ type: 'use-learned', usage: [], acceptingVms: 1 }] }),
    });
    expect(() =>
      reduce(initialState, {
        side: 'fleet',
        event: { type: 'use-shared', usage: [], ...occurrence },
      }),
    ).toThrow('Sides loop on use-shared');
  });
});
