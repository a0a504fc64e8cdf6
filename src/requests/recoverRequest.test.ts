import type { KvExport, StreamOrder } from '../contracts/engineContract';
import { driveRouter, frameEvent, testRequest, type Driver } from './testFleet';
import type { RouterEffect, RouterEvent } from './routerMessage';

const types = (effects: readonly RouterEffect[]): readonly string[] =>
  effects.map((effect) => effect.type).filter((type) => type !== 'count' && type !== 'log');

/** Starts a request and delivers the given number of tokens, 20 ms apart. */
function start(driver: Driver, tokens: number, id = 'r1'): StreamOrder {
  driver.send({
    type: 'request-received',
    request: testRequest({ id, fingerprint: `f-${id}` }),
    atMs: 0,
    seed: 5,
  });
  const order = driver.lastOrder();
  for (let position = 0; position < tokens; position += 1) {
    driver.send(frameEvent(order, position, 20 * (position + 1)));
  }
  return order;
}

function stageFailedEvent(order: StreamOrder, stage: number, atMs: number): RouterEvent {
  return {
    type: 'stream-message',
    request: order.request,
    attempt: order.attempt,
    message: { type: 'stage-failed', engine: engineAt(order, stage), detail: 'gone' },
    atMs,
    seed: 11,
  };
}

const engineAt = (order: StreamOrder, stage: number): string => order.route[stage]?.engine ?? '';

function exportsOf(order: StreamOrder, stages: readonly number[]): readonly KvExport[] {
  return stages.flatMap((index) => {
    const stage = order.route[index];
    if (stage === undefined) return [];
    return [{ ...stage, request: order.request, tokens: 5 }];
  });
}

type KvFound = Extract<RouterEvent, { readonly type: 'kv-found' }>;

const kvFound = (order: StreamOrder, exports: readonly KvExport[]): KvFound => ({
  type: 'kv-found',
  request: order.request,
  attempt: order.attempt + 1,
  exports,
  answered: exports.map((item) => item.engine),
  atMs: 70,
  seed: 3,
});

/** The answer to a query about a silent stream whose attempt is still open. */
const queryAnswered = (
  order: StreamOrder,
  stages: readonly number[],
  atMs: number,
): RouterEvent => ({
  ...kvFound(order, exportsOf(order, stages)),
  attempt: order.attempt,
  atMs,
});

describe('recoverRequest', () => {
  it('supersedes the failed attempt and queries KV before the next one opens', () => {
    const driver = driveRouter();
    const order = start(driver, 2);
    const effects = driver.send(stageFailedEvent(order, 1, 60));
    expect(types(effects)).toEqual([
      'observe-server',
      'clear-timer',
      'cancel-stream',
      'share-suspects',
      'find-kv',
      'set-timer',
    ]);
    expect(driver.send(frameEvent(order, 2, 61))).toMatchObject([
      { type: 'count', counter: 'frames_dropped', labels: { reason: 'not-streaming' } },
    ]);
  });

  it('keeps the healthy stages with their KV and continues at the next position', () => {
    const driver = driveRouter();
    const order = start(driver, 2);
    driver.send(stageFailedEvent(order, 1, 60));
    driver.send(kvFound(order, exportsOf(order, [0, 2])));
    const next = driver.lastOrder();
    expect(next).toMatchObject({ attempt: 2, prompt: [1, 2, 3], delivered: [100, 101] });
    expect(next.route.map((stage) => stage.engine)).toEqual([
      engineAt(order, 0),
      engineAt(order, 1) === 'b1' ? 'b2' : 'b1',
      engineAt(order, 2),
    ]);
    expect(next.route.map((stage) => stage.kvImport?.tokens)).toEqual([5, undefined, 5]);
    expect(types(driver.send(frameEvent(order, 2, 90)))).toEqual([]);
    expect(types(driver.send(frameEvent(next, 2, 95)))).toEqual(['deliver']);
  });

  it('imports the KV that a failed stage exported', () => {
    const driver = driveRouter();
    const order = start(driver, 2);
    driver.send(stageFailedEvent(order, 1, 60));
    driver.send(kvFound(order, exportsOf(order, [0, 1, 2])));
    const replaced = driver.lastOrder().route[1];
    expect(replaced?.kvImport?.engine).toBe(engineAt(order, 1));
    expect(replaced?.engine).not.toBe(engineAt(order, 1));
  });

  it('reruns and counts the prefix when no KV is found in time', () => {
    const driver = driveRouter();
    const order = start(driver, 2);
    driver.send(stageFailedEvent(order, 1, 60));
    const effects = driver.send({ type: 'timer-fired', timer: 'kv/r1', atMs: 120, seed: 1 });
    expect(effects).toContainEqual({ type: 'count', counter: 'prefix_tokens_rerun', by: 5 });
    expect(driver.lastOrder().attempt).toBe(2);
    expect(driver.send(kvFound(order, exportsOf(order, [0, 2])))).toEqual([]);
  });

  it('replaces two stages that fail together', () => {
    const driver = driveRouter();
    const order = start(driver, 1);
    driver.send(stageFailedEvent(order, 1, 60));
    driver.send({ type: 'server-crashed', server: engineAt(order, 2), atMs: 61, seed: 1 });
    driver.send(kvFound(order, exportsOf(order, [0])));
    const engines = driver.lastOrder().route.map((stage) => stage.engine);
    expect(engines[0]).toBe(engineAt(order, 0));
    expect(engines[1]).not.toBe(engineAt(order, 1));
    expect(engines[2]).not.toBe(engineAt(order, 2));
  });

  it('recovers from a failure during recovery', () => {
    const driver = driveRouter();
    const order = start(driver, 2);
    driver.send(stageFailedEvent(order, 1, 60));
    driver.send(kvFound(order, exportsOf(order, [0, 2])));
    const second = driver.lastOrder();
    driver.send(stageFailedEvent(second, 0, 75));
    driver.send({ type: 'timer-fired', timer: 'kv/r1', atMs: 140, seed: 1 });
    const third = driver.lastOrder();
    expect(third).toMatchObject({ attempt: 3, delivered: [100, 101] });
    expect(engineAt(third, 0)).not.toBe(engineAt(order, 0));
    expect(engineAt(third, 1)).toBe(engineAt(second, 1));
    expect(types(driver.send(frameEvent(third, 2, 160)))).toEqual(['deliver']);
  });

  it('detects a stall from token intervals and avoids the silent engine', () => {
    const driver = driveRouter();
    const order = start(driver, 4);
    const early = driver.send({ type: 'timer-fired', timer: 'stall/r1', atMs: 250, seed: 1 });
    expect(types(early)).toEqual(['set-timer']);
    const late = driver.send({ type: 'timer-fired', timer: 'stall/r1', atMs: 340, seed: 1 });
    expect(types(late)).toEqual(['find-kv', 'set-timer']);
    const replaced = driver.send(queryAnswered(order, [0, 1], 350));
    const steps = types(replaced).filter((type) => /^(cancel|open)-stream$/.test(type));
    expect(steps).toEqual(['cancel-stream', 'open-stream']);
    expect(driver.lastOrder().route.map((stage) => stage.engine)).toEqual([
      engineAt(order, 0),
      engineAt(order, 1),
      engineAt(order, 2) === 'c1' ? 'c2' : 'c1',
    ]);
  });

  it('keeps a silent stream whose engines all answer and queries them again later', () => {
    const driver = driveRouter();
    const order = start(driver, 4);
    driver.send({ type: 'timer-fired', timer: 'stall/r1', atMs: 340, seed: 1 });
    expect(types(driver.send(queryAnswered(order, [0, 1, 2], 350)))).toEqual(['set-timer']);
    expect(types(driver.send(frameEvent(order, 4, 400)))).toEqual(['deliver']);
    driver.send({ type: 'timer-fired', timer: 'stall/r1', atMs: 900, seed: 1 });
    expect(types(driver.send(queryAnswered(order, [0, 1], 910)))).toContain('cancel-stream');
  });

  it('replaces a hung stream although all its engines answer', () => {
    const driver = driveRouter();
    const order = start(driver, 4);
    driver.send({ type: 'timer-fired', timer: 'stall/r1', atMs: 9000, seed: 1 });
    expect(types(driver.send(queryAnswered(order, [0, 1, 2], 9010)))).toContain('cancel-stream');
  });

  it('drops frames that a stalled engine sends when it resumes', () => {
    const driver = driveRouter();
    const order = start(driver, 4);
    driver.send({ type: 'timer-fired', timer: 'stall/r1', atMs: 400, seed: 1 });
    driver.send({ type: 'timer-fired', timer: 'kv/r1', atMs: 460, seed: 1 });
    const second = driver.lastOrder();
    expect(types(driver.send(frameEvent(order, 4, 470)))).toEqual([]);
    expect(types(driver.send(frameEvent(second, 4, 480)))).toEqual(['deliver']);
    expect(types(driver.send(frameEvent(order, 5, 490)))).toEqual([]);
    expect(types(driver.send(frameEvent(second, 4, 495)))).toEqual([]);
  });

  it('never finishes a truncated stream as complete', () => {
    const driver = driveRouter();
    const order = start(driver, 2);
    const closed = { request: 'r1', attempt: 1, detail: 'end', atMs: 60, seed: 1 };
    const effects = driver.send({ type: 'stream-closed', cause: 'ended', ...closed });
    expect(types(effects)).toContain('find-kv');
    expect(types(driver.effects)).not.toContain('finish');
    expect(driver.router().requests.get(order.request)?.attempt).toBe(2);
  });

  it('cancels on every stage when the caller disconnects and drops later frames', () => {
    const driver = driveRouter();
    const order = start(driver, 2);
    const effects = driver.send({ type: 'caller-left', request: 'r1', atMs: 60, seed: 1 });
    expect(effects[0]).toMatchObject({ type: 'cancel-stream', attempt: 1, route: order.route });
    expect(driver.router().requests.size).toBe(0);
    expect(types(driver.send(frameEvent(order, 2, 70)))).toEqual([]);
    expect([...driver.router().engineLoads.values()].map((load) => load.running)).toEqual([
      0, 0, 0,
    ]);
  });

  it('reports not-run only if no attempt can have run anything', () => {
    const driver = driveRouter();
    start(driver, 0);
    for (let attempt = 1; attempt < 10; attempt += 1) {
      driver.send({
        type: 'stream-closed',
        request: 'r1',
        attempt,
        cause: 'unreachable',
        detail: 'refused',
        atMs: attempt,
        seed: 1,
      });
    }
    expect(driver.effects.filter((effect) => effect.type === 'refuse')).toMatchObject([
      { refusal: { outcome: 'not-run', reason: 'no-route' } },
    ]);
    expect(types(driver.effects)).not.toContain('cancel-stream');
  });

  it.each([
    ['unknown', 'reset', 0],
    ['failed', 'reset', 1],
  ] as const)('reports %s if an attempt may have run', (outcome, cause, tokens) => {
    const driver = driveRouter();
    start(driver, tokens);
    for (let attempt = 1; attempt < 10; attempt += 1) {
      const at = { atMs: 30 + attempt, seed: 1 };
      driver.send({ type: 'stream-closed', request: 'r1', attempt, cause, detail: '', ...at });
      driver.send({ type: 'timer-fired', timer: 'kv/r1', ...at });
      driver.send({ type: 'timer-fired', timer: 'turn/r1', ...at });
    }
    expect(driver.effects.findLast((effect) => effect.type === 'refuse')).toMatchObject({
      refusal: { outcome },
    });
  });

  it('stops retrying once the retry budget is spent', () => {
    const driver = driveRouter();
    for (let index = 0; index < 400; index += 1) {
      const order = start(driver, 1, `r${index}`);
      driver.send({ type: 'server-crashed', server: engineAt(order, 0), atMs: 60, seed: 1 });
      const timer = `kv/r${index}`;
      driver.send({ type: 'timer-fired', timer, atMs: 120, seed: 1 });
      driver.send({ type: 'caller-left', request: `r${index}`, atMs: 121, seed: 1 });
    }
    const refused = driver.effects.filter((effect) => effect.type === 'refuse');
    expect(refused.length).toBeGreaterThan(0);
    expect(refused[0]).toMatchObject({ refusal: { reason: 'retry-budget-spent' } });
    const reopened = driver.effects.filter(
      (effect) => effect.type === 'open-stream' && effect.order.attempt > 1,
    );
    const retryCost = 4 / 11;
    expect(reopened.length * retryCost).toBeLessThanOrEqual(100 + 0.1 * 400);
  });
});
