import type { Refusal } from '../outcomes/outcome';
import { createWaiters } from './createWaiters';
import { refuseFailedEvent } from './refuseFailedEvent';

const occurrence = { atMs: 0, seed: 0 };

describe('refuseFailedEvent', () => {
  it('refuses the request for which the reducer threw, and no other', () => {
    const waiting = createWaiters();
    const refusals: [string, Refusal][] = [];
    const addWaitingStream = (request: string): void => {
      waiting.streams.set(request, {
        deliver: () => undefined,
        finish: () => undefined,
        refuse: (refusal) => refusals.push([request, refusal]),
      });
    };
    addWaitingStream('r1');
    addWaitingStream('r2');
    const message = { type: 'refused', reason: 'leaving' } as const;
    const event = {
      type: 'stream-message',
      request: 'r1',
      attempt: 1,
      message,
      ...occurrence,
    } as const;
    const sent: unknown[] = [];
    refuseFailedEvent({ side: 'router', event }, waiting, (...events) => sent.push(...events));
    expect(refusals).toMatchObject([['r1', { outcome: 'failed', reason: 'invariant-violated' }]]);
    expect([...waiting.streams.keys()]).toEqual(['r2']);
    expect(sent).toEqual([{ side: 'router', event: { type: 'caller-left', request: 'r1' } }]);
  });

  it('refuses a call for which the reducer threw as unknown, not as not-run', async () => {
    const waiting = createWaiters();
    const result = waiting.calls.wait('c1');
    const call = {
      call: 'c1',
      workspace: 'w',
      service: 's',
      method: 'POST',
      path: '/',
      body: '',
      contentType: '',
    };
    const event = { type: 'call-received', call, ...occurrence } as const;
    refuseFailedEvent({ side: 'operations', event }, waiting, () => undefined);
    expect(await result).toMatchObject({ type: 'refused', refusal: { outcome: 'unknown' } });
  });
});
