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

describe('rememberResult', () => {
  it('never dispatches a forgotten number again, nor a lower one that never came', () => {
    const table = createFixtureTable();
    const driver = startDriver({ maxRemembered: 2 });
    const ticket = driver.takeTicket();
    for (const sequence of [2, 3, 4]) {
      const sent = driver.feed(receive({ operation: `${ticket}/${sequence}` }));
      driver.feed(answerBackend(pick(sent, 'call-backend')[0]?.dispatch ?? ''));
    }
    expect(driver.state.remembered.size).toBe(2);
    for (const sequence of [1, 2]) {
      const effects = table.serve(
        driver,
        driver.feed(receive({ operation: `${ticket}/${sequence}` })),
      );
      expect(pick(effects, 'call-backend')).toEqual([]);
      expect(getReasons(effects)).toEqual(['forgotten']);
    }
  });

  it('never dispatches under a ticket that was dropped', () => {
    const table = createFixtureTable();
    const driver = startDriver({ maxRemembered: 1, maxTickets: 1 });
    const tickets = [1, 2, 3, 4].map(() => driver.takeTicket());
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

  it('forgets what is older than the retention', () => {
    const driver = startDriver();
    const ticket = driver.takeTicket();
    driver.feed(receive({ operation: `${ticket}/1` }), answerBackend('d1'));
    driver.wait(RETENTION_MS);
    driver.feed(receive({ operation: `${ticket}/2` }), answerBackend('d2'));
    expect([...driver.state.remembered.keys()]).toEqual([`kiambu/${ticket}/2`]);
  });

  it('keeps results and lets refused numbers go first when bytes run short', () => {
    const driver = startDriver({ maxRememberedBytes: 2_500 });
    const ticket = driver.takeTicket();
    driver.feed(receive({ operation: `${ticket}/1` }), answerBackend('d1'));
    driver.feed({ type: 'accepting-changed', isAccepting: false, reason: 'isolated' });
    for (const sequence of [2, 3, 4, 5, 6]) {
      driver.feed(receive({ operation: `${ticket}/${sequence}` }));
    }
    expect(driver.state.rememberedBytes).toBeLessThanOrEqual(2_500);
    expect(getOutcomes(driver.feed(receive({ operation: `${ticket}/1` })))).toEqual(['run d1']);
  });
});
