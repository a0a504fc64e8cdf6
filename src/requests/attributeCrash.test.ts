import type { StreamOrder } from '../contracts/engineContract';
import { driveRouter, frameEvent, testRequest, type Driver } from './testFleet';
import type { RouterEffect } from './routerMessage';

function send(driver: Driver, id: string, atMs: number, fingerprint = 'bad'): StreamOrder | string {
  const request = testRequest({ id, fingerprint, deadlineAtMs: atMs + 5000 });
  const effects = driver.send({ type: 'request-received', request, atMs, seed: 1 });
  const refused = effects.find((effect) => effect.type === 'refuse');
  return refused === undefined ? driver.lastOrder() : refused.refusal.reason;
}

function crashFirst(driver: Driver, order: StreamOrder, atMs: number): readonly RouterEffect[] {
  const { request, attempt } = order;
  const cause = 'reset' as const;
  return driver.send({ type: 'stream-closed', request, attempt, cause, detail: '', atMs, seed: 1 });
}

const firstOf = (order: StreamOrder): string => order.route[0]?.engine ?? '';
const opened = (value: StreamOrder | string): StreamOrder => {
  if (typeof value === 'string') throw new Error(value);
  return value;
};

describe('attributeCrash', () => {
  it('lets content crash at most two servers, whatever its request ids', () => {
    const driver = driveRouter();
    const first = opened(send(driver, 'r1', 0));
    crashFirst(driver, first, 10);
    driver.send({ type: 'timer-fired', timer: 'turn/r1', atMs: 420, seed: 1 });
    const second = driver.lastOrder();
    expect(second.attempt).toBe(2);
    expect(firstOf(second)).not.toBe(firstOf(first));
    const effects = crashFirst(driver, second, 430);
    expect(effects).toContainEqual(expect.objectContaining({ type: 'refuse' }));
    expect(send(driver, 'r2', 500)).toBe('suspect-content');
    expect(send(driver, 'r3', 50_000)).toBe('suspect-content');
    expect(typeof send(driver, 'r4', 70_000)).toBe('object');
  });

  it('shares suspects with the other VMs, which refuse the content after its second crash', () => {
    const driver = driveRouter();
    crashFirst(driver, opened(send(driver, 'r1', 0)), 10);
    driver.send({ type: 'timer-fired', timer: 'turn/r1', atMs: 420, seed: 1 });
    crashFirst(driver, driver.lastOrder(), 430);
    const other = driveRouter();
    for (const effect of driver.effects) {
      if (effect.type !== 'share-suspects') continue;
      other.send({ type: 'suspects-learned', suspects: effect.suspects, atMs: 700, seed: 1 });
    }
    expect(send(other, 'r9', 700)).toBe('suspect-content');
  });

  it('sums crashes of different servers seen by two VMs and counts each crash once', () => {
    const driver = driveRouter();
    const crashed = firstOf(opened(send(driver, 'r1', 0)));
    crashFirst(driver, driver.lastOrder(), 10);
    const suspect = { fingerprint: 'bad', crashes: 1, ageMs: 100 };
    const receiveSuspect = (server: string): void => {
      const suspects = [{ ...suspect, servers: [server] }];
      driver.send({ type: 'suspects-learned', suspects, atMs: 100, seed: 1 });
    };
    receiveSuspect(crashed);
    expect(driver.router().crashHistory.records.get('bad')?.crashes).toBe(1);
    receiveSuspect('a-far-one');
    expect(driver.router().crashHistory.records.get('bad')?.crashes).toBe(2);
  });

  it('does not use a third server when the designated one is down', () => {
    const driver = driveRouter();
    const suspects = [{ fingerprint: 'bad', crashes: 1, ageMs: 0, servers: ['a1'] }];
    driver.send({ type: 'suspects-learned', suspects, atMs: 0, seed: 1 });
    const order = opened(send(driver, 'r1', 10));
    const closed = { request: 'r1', attempt: order.attempt, detail: '', atMs: 12, seed: 1 };
    const effects = driver.send({ type: 'stream-closed', cause: 'unreachable', ...closed });
    expect(effects).toContainEqual(
      expect.objectContaining({
        type: 'refuse',
        refusal: expect.objectContaining({ outcome: 'not-run' }) as unknown,
      }),
    );
    expect(driver.router().requests.size).toBe(0);
  });

  it('clears content once it produces tokens again', () => {
    const driver = driveRouter();
    const order = opened(send(driver, 'r1', 0, 'good'));
    driver.send(frameEvent(order, 0, 20));
    crashFirst(driver, order, 30);
    driver.send({ type: 'timer-fired', timer: 'kv/r1', atMs: 90, seed: 1 });
    const next = driver.lastOrder();
    driver.send(frameEvent(next, 1, 120));
    driver.send(frameEvent(next, 2, 140));
    expect(driver.router().crashHistory.records.get('good')?.isCleared).toBe(true);
    expect(opened(send(driver, 'r2', 150, 'good')).attempt).toBe(1);
  });

  it('attributes an outage of a failure domain to no content', () => {
    const driver = driveRouter();
    for (const id of ['r1', 'r2', 'r3', 'r4']) {
      driver.send(frameEvent(opened(send(driver, id, 0, id)), 0, 20));
    }
    for (const server of ['a1', 'b1', 'c1']) {
      driver.send({ type: 'server-crashed', server, atMs: 30, seed: 1 });
    }
    const records = [...driver.router().crashHistory.records.values()];
    expect(records.filter((record) => record.crashes >= 2)).toEqual([]);
  });
});
