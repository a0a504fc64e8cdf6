import { createConfiguration } from '../configuration/createConfiguration';
import type { OperationEffect, PlainCall } from './operationMessage';
import {
  answerBackend,
  failBackend,
  getOutcomes,
  getReasons,
  pick,
  receive,
  startDriver,
  type Driver,
  type TimelessEvent,
} from './operationsFixture';

function getDispatch(effects: readonly OperationEffect[]): string {
  return pick(effects, 'call-backend')[0]?.dispatch ?? 'none';
}

/** Sends one operation and returns the id of its first dispatch. */
function sendOne(driver: Driver, fields: Partial<PlainCall> = {}): string {
  const operation = `${driver.requestTicket()}/1`;
  return getDispatch(driver.feed(receive({ operation, ...fields })));
}

describe('reduceOperations', () => {
  it('dispatches an operation once and gives a repeat the same result', () => {
    const driver = startDriver();
    const operation = `${driver.requestTicket()}/1`;
    const first = driver.feed(receive({ operation }));
    const joined = driver.feed(receive({ operation, call: 'c2' }));
    expect(pick(first, 'call-backend')).toHaveLength(1);
    expect(joined).toEqual([]);
    const done = driver.feed(answerBackend(getDispatch(first)));
    expect(getOutcomes(done)).toEqual(['run d1', 'run d1']);
    const repeat = driver.feed(receive({ operation, call: 'c3' }));
    expect(pick(repeat, 'call-backend')).toEqual([]);
    expect(getOutcomes(repeat)).toEqual(['run d1']);
  });

  it.each([
    ['refused connection', failBackend('d1', 'unreachable'), 'not-run'],
    ['reset', failBackend('d1', 'reset'), 'unknown'],
    ['timeout', failBackend('d1', 'timeout'), 'unknown'],
    ['503 with proof', answerBackend('d1', 503, true), 'not-run'],
    ['503 without proof', answerBackend('d1', 503), 'unknown'],
    ['500', answerBackend('d1', 500), 'unknown'],
    ['409', answerBackend('d1', 409), 'run d1'],
  ])('reports the correct outcome of an operation after %s', (_, end, outcome) => {
    const driver = startDriver();
    expect(sendOne(driver)).toBe('d1');
    const effects = driver.feed(end);
    expect(pick(effects, 'call-backend')).toEqual([]);
    expect(getOutcomes(effects)).toEqual([outcome]);
  });

  it('never dispatches a sequence number that it refused as not-run', () => {
    const driver = startDriver();
    const operation = `${driver.requestTicket()}/1`;
    driver.feed(receive({ operation }), failBackend('d1', 'unreachable'));
    const late = driver.feed(receive({ operation, call: 'c2' }));
    expect(pick(late, 'call-backend')).toEqual([]);
    expect(getOutcomes(late)).toEqual(['not-run']);
  });

  it.each([
    [{ path: '/bookings' }, 'POST', '/bookings'],
    [{ path: '/holds' }, 'GET', /^\/status\/ct1\..*%2F1$/],
  ])('resolves a lost reply with the same server for %j', (fields, method, path) => {
    const driver = startDriver();
    const operation = `${driver.requestTicket()}/1`;
    const sent = pick(driver.feed(receive({ operation, ...fields })), 'call-backend');
    const waits = pick(driver.feed(failBackend('d1', 'reset')), 'set-timer');
    const timer = waits.find((wait) => wait.timer.startsWith('settle'))?.timer ?? '';
    const tries = pick(driver.feed({ type: 'timer-fired', timer }), 'call-backend');
    expect(tries).toMatchObject([{ server: sent[0]?.server, method }]);
    expect(tries[0]?.path).toMatch(path);
    expect(getOutcomes(driver.feed(answerBackend('d2')))).toEqual(['run d2']);
  });

  it.each([
    ['a repeat that did not run', '/bookings', answerBackend('d2', 503, true)],
    ['a repeat that could not connect', '/bookings', failBackend('d2', 'unreachable')],
    ['a status look-up that does not know it', '/holds', answerBackend('d2', 404)],
  ])('does not take %s as proof that the first dispatch did not run', (_, path, end) => {
    const driver = startDriver();
    const operation = `${driver.requestTicket()}/1`;
    driver.feed(receive({ operation, path }), failBackend('d1', 'timeout'));
    const timer = `settle kiambu/${operation}`;
    const outcomes = ['d2', 'd3', 'd4'].flatMap((dispatch) => [
      ...driver.feed({ type: 'timer-fired', timer }),
      ...driver.feed({ ...end, dispatch } as TimelessEvent),
    ]);
    expect(getOutcomes(outcomes)).toEqual(['unknown']);
  });

  it('retries a look-up on another server', () => {
    const driver = startDriver();
    const lookup = receive({ method: 'GET', path: '/jobs/7', body: '' });
    const first = pick(driver.feed(lookup), 'call-backend');
    const second = pick(driver.feed(failBackend('d1', 'reset')), 'call-backend');
    expect(second).toHaveLength(1);
    expect(second[0]?.server).not.toBe(first[0]?.server);
    expect(getOutcomes(driver.feed(answerBackend('d2')))).toEqual(['run d2']);
  });

  it('refuses a ticket of another workspace, a forged one and a reused id', () => {
    const driver = startDriver();
    const ticket = driver.requestTicket();
    const forged = `${ticket.slice(0, -2)}xx/1`;
    driver.feed(receive({ operation: `${ticket}/1` }));
    const effects = driver.feed(
      receive({ operation: `${ticket}/2`, workspace: 'derwent' }),
      receive({ operation: forged }),
      receive({ operation: `${ticket}/1`, body: '{"ring":8}' }),
      receive({ operation: `${ticket}/0` }),
    );
    expect(pick(effects, 'call-backend')).toEqual([]);
    expect(getReasons(effects)).toEqual([
      'ticket-of-another-workspace',
      'operation-id-invalid',
      'operation-id-reused',
      'operation-id-invalid',
    ]);
  });

  it('forwards a call to the owner of the operation and never dispatches it itself', () => {
    const operation = `${startDriver({ vm: 'b' }).requestTicket()}/1`;
    const driver = startDriver();
    const effects = driver.feed(receive({ operation }));
    expect(pick(effects, 'forward')).toMatchObject([{ vm: { id: 'b', incarnation: 100 } }]);
    expect(pick(effects, 'call-backend')).toEqual([]);
    const result = { type: 'lost' } as const;
    const after = driver.feed({ type: 'forwarded', call: 'c1', result });
    expect(pick(after, 'call-backend')).toEqual([]);
  });

  it('refuses new operations while it accepts no work, and answers repeats of finished ones', () => {
    const driver = startDriver();
    const ticket = driver.requestTicket();
    driver.feed(receive({ operation: `${ticket}/1` }), answerBackend('d1'));
    driver.feed({ type: 'accepting-changed', isAccepting: false, reason: 'isolated' });
    const effects = driver.feed(
      receive({ operation: `${ticket}/2` }),
      receive({ operation: `${ticket}/1` }),
    );
    expect(getReasons(effects)).toEqual(['isolated', 'answered']);
  });

  it('refuses new work after a pause until the fleet component has had time to report', () => {
    const driver = startDriver();
    const ticket = driver.requestTicket();
    driver.wait(5000);
    const resumed = driver.feed(
      receive({ operation: `${ticket}/1` }),
      receive({ call: 'c2', method: 'GET', path: '/jobs/7', body: '' }),
      { type: 'ticket-asked', call: 'c3', workspace: 'kiambu' },
    );
    expect(getReasons(resumed)).toEqual(['woke-from-pause', 'woke-from-pause', 'woke-from-pause']);
    expect(pick(resumed, 'call-backend')).toEqual([]);
    driver.wait(1000);
    driver.feed({ type: 'timer-fired', timer: 'tick' });
    const later = driver.feed(receive({ operation: `${ticket}/2` }));
    expect(pick(later, 'call-backend')).toHaveLength(1);
  });

  it('refuses a service that its revision does not contain as not-run, with a retry delay', () => {
    const driver = startDriver();
    const effects = driver.feed(receive({ service: 'opened-since' }));
    expect(pick(effects, 'call-backend')).toEqual([]);
    expect(pick(effects, 'answer').map(({ result }) => result)).toMatchObject([
      { refusal: { outcome: 'not-run', reason: 'service-unknown', retryAfterMs: 1000 } },
    ]);
  });

  it('refuses as not-run before it has a configuration', () => {
    const driver = startDriver();
    driver.feed({ type: 'configuration-changed', configuration: createConfiguration() });
    const effects = driver.feed(receive(), receive({ operation: 'order 17' }));
    expect(getReasons(effects)).toEqual(['no-configuration', 'no-configuration']);
    expect(getOutcomes(effects)).toEqual(['not-run', 'not-run']);
  });
});
