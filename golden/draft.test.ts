import type { RouterEvent } from '../src/requests/routerMessage';
import { driveRouter, frameEvent, testConfiguration, testRequest } from '../src/requests/testFleet';
import { createSession } from './createSession';

describe('requests golden', () => {
  it('a draft through a stage failure', () => {
    const session = createSession();
    const driver = driveRouter();
    const feed = (event: RouterEvent): void => {
      session.record('a', event, driver.send(event));
    };
    const health = [...testConfiguration().engine.keys()].map((server) => ({
      server,
      isUsable: true,
      weight: 1,
    }));
    feed({ type: 'servers-changed', servers: health, atMs: 0, seed: 1 });
    session.addHeading('The draft starts');
    feed({ type: 'request-received', request: testRequest({ maxTokens: 4 }), atMs: 1, seed: 2 });
    const first = driver.lastOrder();
    for (const position of [0, 1]) feed(frameEvent(first, position, 20 + position));
    session.addHeading('The second stage dies');
    const engine = first.route[1]?.engine ?? '';
    const message = { type: 'stage-failed', engine, detail: 'connection reset' } as const;
    const { request, attempt } = first;
    feed({ type: 'stream-message', request, attempt, message, atMs: 30, seed: 3 });
    feed({
      type: 'kv-found',
      request,
      attempt: attempt + 1,
      exports: [],
      answered: ['a1', 'c1'],
      atMs: 35,
      seed: 4,
    });
    session.addHeading('A late frame of the old attempt is dropped');
    feed(frameEvent(first, 2, 36));
    session.addHeading('The new attempt goes on at the next position');
    const second = driver.lastOrder();
    expect(second.attempt).toBeGreaterThan(first.attempt);
    feed(frameEvent(second, 2, 50));
    const last = frameEvent(second, 3, 60);
    if (last.type === 'stream-message' && last.message.type === 'frame') {
      const frame = { ...last.message.frame, finish: 'length' } as const;
      feed({ ...last, message: { type: 'frame', frame } });
    }
    expect(driver.effects.filter(({ type }) => type === 'deliver')).toHaveLength(4);
    expect(session.text()).toMatchSnapshot();
  });
});
