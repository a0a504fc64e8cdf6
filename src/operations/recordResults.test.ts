import { MAX_BATCH_ROWS, RECORD_WRITES_PER_SECOND } from './operationLimits';
import {
  answerBackend,
  createFixtureTable,
  peers,
  pick,
  receive,
  startDriver,
  type Driver,
} from './operationsFixture';

/** Runs operations to completion and returns the effects of their answers. */
function runOperations(driver: Driver, count: number) {
  const ticket = driver.requestTicket();
  return Array.from({ length: count }, (_, index) => {
    const sent = driver.feed(receive({ operation: `${ticket}/${index + 1}` }));
    return driver.feed(answerBackend(pick(sent, 'call-backend')[0]?.dispatch ?? ''));
  }).flat();
}

const refusesNew = { type: 'accepting-changed', isAccepting: false, reason: 'draining' } as const;
const fire = { type: 'timer-fired', timer: 'record' } as const;

describe('recordResults', () => {
  it('merges many results into few rows and sets one timer for all of them', () => {
    const driver = startDriver();
    const timers = pick(runOperations(driver, 500), 'set-timer');
    expect(timers.filter(({ timer }) => timer === 'record')).toHaveLength(1);
    const [batch] = pick(driver.feed(fire), 'transact');
    expect(batch?.transaction.writes.length).toBeLessThanOrEqual(4);
    expect(driver.state.unrecorded.size).toBe(0);
  });

  it.each([8, 380])(
    'keeps the writes of %d VMs together within their share of the table',
    (vms) => {
      const driver = startDriver();
      const many = Array.from({ length: vms }, (_, index) => ({
        ...peers[0],
        id: `vm${index}`,
      }));
      driver.feed({ type: 'vms-changed', vms: many as unknown as typeof peers });
      const table = createFixtureTable();
      runOperations(driver, 2_000);
      const rows = pick(table.serve(driver, driver.feed(fire)), 'transact')[0]?.transaction.writes;
      const pauseMs = driver.state.recordPauseMs;
      const perSecond = ((rows?.length ?? 0) * 1000 * vms) / pauseMs;
      expect(rows?.length).toBeLessThanOrEqual(MAX_BATCH_ROWS);
      expect(perSecond).toBeLessThanOrEqual(RECORD_WRITES_PER_SECOND);
    },
  );

  it('hands over during a drain only once every result is in the table, despite an outage', () => {
    const table = createFixtureTable();
    const driver = startDriver();
    runOperations(driver, 3);
    const drained = driver.feed({ type: 'drain-started' }, refusesNew);
    expect(pick(drained, 'handed-over')).toEqual([]);
    const [batch] = pick(driver.feed(fire), 'transact');
    const lost = driver.feed({
      type: 'transacted',
      call: batch?.call ?? '',
      result: { type: 'unavailable', detail: 'down' },
    });
    expect(pick(lost, 'handed-over')).toEqual([]);
    expect(pick(lost, 'set-timer')).toMatchObject([{ timer: 'record-again' }]);
    const again = driver.feed({ type: 'timer-fired', timer: 'record-again' });
    expect(pick(again, 'transact')[0]?.transaction).toEqual(batch?.transaction);
    expect(pick(table.serve(driver, again), 'handed-over')).toHaveLength(1);
  });

  it('waits during a drain for running operations', () => {
    const table = createFixtureTable();
    const driver = startDriver();
    driver.feed(receive({ operation: `${driver.requestTicket()}/1` }));
    const drained = driver.feed({ type: 'drain-started' }, refusesNew);
    expect(pick(drained, 'handed-over')).toEqual([]);
    driver.feed(answerBackend('d1'));
    expect(pick(table.serve(driver, driver.feed(fire)), 'handed-over')).toHaveLength(1);
  });
});
