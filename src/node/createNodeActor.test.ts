import type { NodeEffect, NodeEvent } from './nodeMessage';
import { createNodeActor } from './createNodeActor';
import type { NodeActor } from './createNodeActor';
import type { UntimedEvent } from './untimedEvent';

const leave = (request: string): UntimedEvent => ({
  side: 'router',
  event: { type: 'caller-left', request },
});

const count = (counter: string): NodeEffect => ({
  side: 'router',
  effect: { type: 'count', counter, by: 1 },
});

const nameOf = ({ event }: NodeEvent): string =>
  event.type === 'caller-left' ? event.request : event.type;

/** Waits enough turns of the event loop to deliver all messages; one turn may run only timers. */
const settle = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

describe('createNodeActor', () => {
  let actor: NodeActor<readonly string[]>;
  let interpreted: string[];
  let faults: string[];
  let clock: number;

  beforeEach(() => {
    interpreted = [];
    faults = [];
    clock = 0;
    actor = createNodeActor<readonly string[]>({
      initialState: [],
      reduce: (state, event) => {
        const name = nameOf(event);
        if (name === 'broken') throw new Error('invariant');
        const { atMs, seed } = event.event;
        return { state: [...state, `${name}@${atMs}/${seed}`], effects: [count(name)] };
      },
      interpret: ({ effect }) => {
        if (effect.type !== 'count') return;
        if (effect.counter === 'unsendable') throw new Error('no interpreter');
        interpreted.push(effect.counter);
      },
      now: () => {
        clock += 1;
        return clock;
      },
      seed: () => 7,
      onFault: (fault, cause) => faults.push(`${nameOf(cause)}: ${String(fault)}`),
    });
  });

  afterEach(() => {
    actor.stop();
  });

  it('processes events in order, each with the time of its processing', async () => {
    actor.send(leave('a'), leave('b'));
    actor.send(leave('c'));
    await settle();
    expect(actor.state()).toEqual(['a@1/7', 'b@2/7', 'c@3/7']);
    expect(interpreted).toEqual(['a', 'b', 'c']);
  });

  it('keeps the state and processes the next event after the reducer throws', async () => {
    actor.send(leave('a'), leave('broken'), leave('b'));
    await settle();
    expect(actor.state()).toEqual(['a@1/7', 'b@3/7']);
    expect(faults).toEqual(['broken: Error: invariant']);
  });

  it('processes the next event after an effect handler throws', async () => {
    actor.send(leave('unsendable'), leave('b'));
    await settle();
    expect(interpreted).toEqual(['b']);
    expect(faults).toEqual(['unsendable: Error: no interpreter']);
  });

  it('ignores events after it is stopped', async () => {
    actor.stop();
    actor.send(leave('a'));
    await settle();
    expect(actor.state()).toEqual([]);
  });
});
