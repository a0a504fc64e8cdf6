import { RETENTION_MS } from './operationLimits';
import {
  answerBackend,
  createFixtureTable,
  getOutcomes,
  getReasons,
  pick,
  receive,
  startDriver,
} from './operationsFixture';

describe('retainResult', () => {
  it('never dispatches an evicted sequence number again, nor a lower one that never arrived', () => {
    const table = createFixtureTable();
    const driver = startDriver({ maxRetained: 2 });
    const ticket = driver.requestTicket();
    for (const sequence of [2, 3, 4]) {
      const sent = driver.feed(receive({ operation: `${ticket}/${sequence}` }));
      driver.feed(answerBackend(pick(sent, 'call-backend')[0]?.dispatch ?? ''));
    }
    expect(driver.state.retained.size).toBe(2);
    for (const sequence of [1, 2]) {
      const effects = table.serve(
        driver,
        driver.feed(receive({ operation: `${ticket}/${sequence}` })),
      );
      expect(pick(effects, 'call-backend')).toEqual([]);
      expect(getReasons(effects)).toEqual(['forgotten']);
    }
  });

  it('never dispatches under a ticket that was evicted', () => {
    const table = createFixtureTable();
    const driver = startDriver({ maxRetained: 1, maxTickets: 1 });
    const tickets = [1, 2, 3, 4].map(() => driver.requestTicket());
    for (const ticket of tickets) {
      const sent = driver.feed(receive({ operation: `${ticket}/1` }));
      driver.feed(answerBackend(pick(sent, 'call-backend')[0]?.dispatch ?? ''));
    }
    expect(driver.state.tickets.size).toBe(2);
    for (const sequence of [1, 2]) {
      const operation = `${tickets[0] ?? ''}/${sequence}`;
      const effects = table.serve(driver, driver.feed(receive({ operation })));
      expect(pick(effects, 'call-backend')).toEqual([]);
      expect(getOutcomes(effects)).toEqual(['unknown']);
    }
  });

  it('evicts results that are older than the retention', () => {
    const driver = startDriver();
    const ticket = driver.requestTicket();
    driver.feed(receive({ operation: `${ticket}/1` }), answerBackend('d1'));
    driver.wait(RETENTION_MS);
    driver.feed(receive({ operation: `${ticket}/2` }), answerBackend('d2'));
    expect([...driver.state.retained.keys()]).toEqual([`kiambu/${ticket}/2`]);
  });

  it('evicts tombstones before results when the byte limit is reached', () => {
    const driver = startDriver({ maxRetainedBytes: 2_500 });
    const ticket = driver.requestTicket();
    driver.feed(receive({ operation: `${ticket}/1` }), answerBackend('d1'));
    driver.feed({ type: 'accepting-changed', isAccepting: false, reason: 'isolated' });
    for (const sequence of [2, 3, 4, 5, 6]) {
      driver.feed(receive({ operation: `${ticket}/${sequence}` }));
    }
    expect(driver.state.retainedBytes).toBeLessThanOrEqual(2_500);
    expect(getOutcomes(driver.feed(receive({ operation: `${ticket}/1` })))).toEqual(['run d1']);
  });
});
