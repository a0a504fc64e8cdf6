import type { Decision } from './decision';
import { createReducer } from './createReducer';

interface Increment {
  readonly type: 'increment';
  readonly by: number;
}
interface Reset {
  readonly type: 'reset';
}

describe('createReducer', () => {
  const reduce = createReducer<number, Increment | Reset, string>({
    increment: (state, event): Decision<number, string> => ({
      state: state + event.by,
      effects: ['incremented'],
    }),
    reset: (): Decision<number, string> => ({ state: 0, effects: [] }),
  });

  it('hands an event to the handler of its type', () => {
    expect(reduce(2, { type: 'increment', by: 3 })).toEqual({ state: 5, effects: ['incremented'] });
    expect(reduce(5, { type: 'reset' })).toEqual({ state: 0, effects: [] });
  });

  it('throws on an event that has no handler', () => {
    expect(() => reduce(2, { type: 'unheard' } as never)).toThrow('No handler for event unheard');
  });
});
