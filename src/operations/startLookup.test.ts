import { RETRY_BURST, RETRY_RATIO } from './operationLimits';
import {
  answerBackend,
  failBackend,
  getOutcomes,
  getReasons,
  pick,
  receive,
  startDriver,
} from './operationsFixture';

const lookup = { method: 'GET', path: '/jobs/7', body: '' };

describe('startLookup', () => {
  it.each([
    ['refused connections', (id: string) => failBackend(id, 'unreachable'), 'not-run'],
    ['503s with proof', (id: string) => answerBackend(id, 503, true), 'not-run'],
    ['500s', (id: string) => answerBackend(id, 500), 'failed'],
    ['resets', (id: string) => failBackend(id, 'reset'), 'unknown'],
  ])('reports the correct outcome after %s from every server', (_, end, outcome) => {
    const driver = startDriver();
    const effects = [...driver.feed(receive(lookup))];
    for (const dispatch of ['d1', 'd2', 'd3']) effects.push(...driver.feed(end(dispatch)));
    const servers = pick(effects, 'call-backend').map(({ server }) => server);
    expect([...servers].sort()).toEqual(['s1', 's2', 's3']);
    expect(getOutcomes(effects)).toEqual([outcome]);
  });

  it('reports not-run only if no try may have run', () => {
    const driver = startDriver();
    driver.feed(receive(lookup), failBackend('d1', 'reset'), failBackend('d2', 'unreachable'));
    expect(getOutcomes(driver.feed(failBackend('d3', 'unreachable')))).toEqual(['unknown']);
  });

  it('never sends more retries than the budget of the service allows', () => {
    const driver = startDriver();
    const calls = 500;
    let tries = 0;
    for (let index = 0; index < calls; index += 1) {
      let sent = pick(driver.feed(receive({ ...lookup, call: `c${index}` })), 'call-backend');
      while (sent[0] !== undefined) {
        tries += 1;
        sent = pick(driver.feed(failBackend(sent[0].dispatch, 'reset')), 'call-backend');
      }
      driver.feed({ type: 'timer-fired', timer: 'tick' });
    }
    expect(tries - calls).toBeLessThanOrEqual(calls * RETRY_RATIO + RETRY_BURST);
    expect(tries).toBeGreaterThan(calls);
  });

  it('hedges a slow look-up on another server and returns the first answer', () => {
    const driver = startDriver();
    const first = driver.feed(receive(lookup));
    const [timer] = pick(first, 'set-timer');
    expect(timer?.timer).toBe('hedge c1');
    const hedge = pick(driver.feed({ type: 'timer-fired', timer: 'hedge c1' }), 'call-backend');
    expect(hedge[0]?.server).not.toBe(pick(first, 'call-backend')[0]?.server);
    expect(getOutcomes(driver.feed(answerBackend('d2')))).toEqual(['run d2']);
    expect(getOutcomes(driver.feed(answerBackend('d1')))).toEqual([]);
  });

  it('never hedges or retries a call that is not idempotent', () => {
    const driver = startDriver();
    const sent = driver.feed(receive({ operation: `${driver.requestTicket()}/1` }));
    expect(pick(sent, 'set-timer')).toEqual([]);
    const ended = driver.feed(failBackend('d1', 'unreachable'));
    expect(pick(ended, 'call-backend')).toEqual([]);
  });

  it('sends nothing to an unusable server or to one without a report', () => {
    const driver = startDriver();
    driver.feed({
      type: 'servers-changed',
      servers: [{ server: 's1', isUsable: false, weight: 1 }],
    });
    expect(getReasons(driver.feed(receive(lookup)))).toEqual(['no-usable-server']);
  });

  it('does not retry after the time limit of the call', () => {
    const driver = startDriver();
    driver.feed(receive(lookup));
    driver.wait(1000);
    const ended = driver.feed(failBackend('d1', 'timeout'));
    expect(pick(ended, 'call-backend')).toEqual([]);
    expect(getOutcomes(ended)).toEqual(['unknown']);
  });
});
