import type { NodeEffect, NodeEvent } from './nodeMessage';
import { createNodeActor } from './createNodeActor';
import type { NodeActor } from './createNodeActor';
import type { UntimedEvent } from './untimedEvent';

const createLeaveEvent = (request: string): UntimedEvent => ({
  side: 'router',
  event: { type: 'caller-left', request },
});

const createCountEffect = (counter: string): NodeEffect => ({
  side: 'router',
  effect: { type: 'count', counter, by: 1 },
});

const getName = ({ event }: NodeEvent): string =>
  event.type === 'caller-left' ? event.request : event.type;

/** Waits enough turns of the event loop to deliver all messages; one turn may run only timers. */
const waitForMessages = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve));
};

describe('createNodeActor', () => {
  let actor: NodeActor<readonly string[]>;
  let handledCounters: string[];
  let faults: string[];
  let clock: number;

  beforeEach(() => {
    handledCounters = [];
    faults = [];
    clock = 0;
    actor = createNodeActor<readonly string[]>({
      initialState: [],
      reduce: (state, event) => {
        const name = getName(event);
        if (name === 'broken') throw new Error('invariant');
        const { atMs, seed } = event.event;
        return { state: [...state, `${name}@${atMs}/${seed}`], effects: [createCountEffect(name)] };
      },
      interpret: ({ effect }) => {
        if (effect.type !== 'count') return;
        if (effect.counter === 'unsendable') throw new Error('no interpreter');
        handledCounters.push(effect.counter);
      },
      now: () => {
        clock += 1;
        return clock;
      },
      seed: () => 7,
      onFault: (fault, cause) => faults.push(`${getName(cause)}: ${String(fault)}`),
    });
  });

  afterEach(() => {
    actor.stop();
  });

  it('processes events in order, each with the time of its processing', async () => {
    actor.send(createLeaveEvent('a'), createLeaveEvent('b'));
    actor.send(createLeaveEvent('c'));
    await waitForMessages();
    expect(actor.state()).toEqual(['a@1/7', 'b@2/7', 'c@3/7']);
    expect(handledCounters).toEqual(['a', 'b', 'c']);
  });

  it('keeps the state and processes the next event after the reducer throws', async () => {
    actor.send(createLeaveEvent('a'), createLeaveEvent('broken'), createLeaveEvent('b'));
    await waitForMessages();
    expect(actor.state()).toEqual(['a@1/7', 'b@3/7']);
    expect(faults).toEqual(['broken: Error: invariant']);
  });

  it('processes the next event after an effect handler throws', async () => {
    actor.send(createLeaveEvent('unsendable'), createLeaveEvent('b'));
    await waitForMessages();
    expect(handledCounters).toEqual(['b']);
    expect(faults).toEqual(['unsendable: Error: no interpreter']);
  });

  it('ignores events after it is stopped', async () => {
    actor.stop();
    actor.send(createLeaveEvent('a'));
    await waitForMessages();
    expect(actor.state()).toEqual([]);
  });
});
