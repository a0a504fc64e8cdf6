import type { Row, TransactionResult } from '../contracts/table';
import type { OperationEffect } from './operationMessage';
import {
  answerBackend,
  createFixtureTable,
  failBackend,
  getOutcomes,
  getReasons,
  pick,
  receive,
  startDriver,
  type Driver,
  type TimelessEvent,
} from './operationsFixture';

const operation = 'order 17';

/** Answers the last request to the table among the effects. */
function reply(
  driver: Driver,
  effects: readonly OperationEffect[],
  result: TransactionResult | { readonly type: 'rows'; readonly rows: readonly Row[] },
): readonly OperationEffect[] {
  const requests = effects.filter(({ type }) => type === 'transact' || type === 'read-rows');
  const request = requests.at(-1) as { readonly call: string; readonly type: string } | undefined;
  const type = request?.type === 'transact' ? 'transacted' : 'rows-read';
  return driver.feed({ type, call: request?.call ?? '', result } as TimelessEvent);
}

/** Returns the row that the first transaction among the effects writes. */
function readWritten(effects: readonly OperationEffect[]): Row {
  const write = pick(effects, 'transact')[0]?.transaction.writes[0];
  return {
    table: 'operations',
    key: write?.key ?? '',
    value: write?.value ?? '',
    version: 1,
  };
}

const ambiguous = { type: 'ambiguous', detail: 'reply lost' } as const;
const unavailable = { type: 'unavailable', detail: 'down' } as const;

describe('claimOperation', () => {
  it('claims the key before it dispatches, and runs the operation once for two VMs', () => {
    const table = createFixtureTable();
    const [a, b] = [startDriver(), startDriver({ vm: 'b' })];
    const asked = a.feed(receive({ operation }));
    expect(pick(asked, 'call-backend')).toEqual([]);
    expect(pick(table.serve(a, asked), 'call-backend')).toHaveLength(1);
    const other = table.serve(b, b.feed(receive({ operation })));
    expect(pick(other, 'call-backend')).toEqual([]);
    expect(pick(other, 'forward')).toMatchObject([{ vm: { id: 'a' } }]);
    const joined = a.feed(receive({ operation, call: 'f1', forwardedBy: 'b' }));
    expect(pick(joined, 'call-backend')).toEqual([]);
    expect(getOutcomes(a.feed(answerBackend('d2')))).toEqual(['run d2', 'run d2']);
  });

  it('answers from the row once the claimer has recorded the result and was removed', () => {
    const table = createFixtureTable();
    const [a, b] = [startDriver(), startDriver({ vm: 'b' })];
    table.serve(a, a.feed(receive({ operation }), answerBackend('none')));
    table.serve(a, a.feed(answerBackend('d2')));
    b.feed({ type: 'vms-changed', vms: [] });
    const early = table.serve(b, b.feed(receive({ operation })));
    expect(getReasons(early)).toEqual(['claimer-gone']);
    table.serve(a, a.feed({ type: 'timer-fired', timer: 'record' }));
    expect(getOutcomes(table.serve(b, b.feed(receive({ operation }))))).toEqual(['run d2']);
  });

  it('refuses as not-run while the table is unavailable', () => {
    const driver = startDriver();
    const effects = reply(driver, driver.feed(receive({ operation })), unavailable);
    expect(getReasons(effects)).toEqual(['store-unavailable']);
    expect(getOutcomes(effects)).toEqual(['not-run']);
    expect(pick(effects, 'call-backend')).toEqual([]);
  });

  it('reads the row back after a lost reply and dispatches if the row is its own', () => {
    const driver = startDriver();
    const sent = driver.feed(receive({ operation }));
    const read = reply(driver, sent, ambiguous);
    const effects = reply(driver, read, { type: 'rows', rows: [readWritten(sent)] });
    expect(pick(effects, 'call-backend')).toHaveLength(1);
  });

  it('inserts again if the row is missing, and detects that the first insert took effect late', () => {
    const driver = startDriver();
    const sent = driver.feed(receive({ operation }));
    const read = reply(driver, sent, ambiguous);
    const again = reply(driver, read, { type: 'rows', rows: [] });
    expect(readWritten(again)).toEqual(readWritten(sent));
    const late = { type: 'conflict', rows: [readWritten(sent)] } as const;
    expect(pick(reply(driver, again, late), 'call-backend')).toHaveLength(1);
  });

  it('claims again if the conflicting row no longer exists', () => {
    const driver = startDriver();
    const sent = driver.feed(receive({ operation }));
    const missing = { ...readWritten(sent), value: '', version: 0 };
    const again = reply(driver, sent, { type: 'conflict', rows: [missing] });
    expect(pick(again, 'transact')[0]?.transaction.conditions).toMatchObject([{ version: 0 }]);
  });

  it('releases a claim that it could not read back, and refuses repeats until it is released', () => {
    const driver = startDriver();
    const sent = driver.feed(receive({ operation }));
    const refused = reply(driver, reply(driver, sent, ambiguous), unavailable);
    expect(getOutcomes(refused)).toEqual(['not-run']);
    expect(getReasons(driver.feed(receive({ operation })))).toEqual(['key-being-released']);
    const release = reply(driver, refused, { type: 'rows', rows: [readWritten(sent)] });
    const { transaction } = pick(release, 'transact')[0] ?? {};
    expect(transaction?.conditions).toMatchObject([{ version: 1 }]);
    expect(transaction?.writes[0]?.value).toContain('"released"');
    reply(driver, release, { type: 'committed', versions: [2] });
    expect(pick(driver.feed(receive({ operation })), 'transact')).toHaveLength(1);
  });

  it('releases the key for another try if the dispatch provably did not run', () => {
    const table = createFixtureTable();
    const driver = startDriver();
    table.serve(driver, driver.feed(receive({ operation })));
    const refused = table.serve(driver, driver.feed(failBackend('d2', 'unreachable')));
    expect(getOutcomes(refused)).toEqual(['not-run']);
    const again = table.serve(driver, driver.feed(receive({ operation })));
    expect(pick(again, 'call-backend')).toHaveLength(1);
    expect([...table.rows.values()]).toMatchObject([{ version: 3 }]);
  });

  it('refuses a key that is reused with another body, on the claimer and on other VMs', () => {
    const table = createFixtureTable();
    const [a, b] = [startDriver(), startDriver({ vm: 'b' })];
    const first = a.feed(receive({ operation }));
    const body = '{"ring":8}';
    expect(getReasons(a.feed(receive({ operation, body })))).toEqual(['operation-id-reused']);
    table.serve(a, first);
    const other = table.serve(b, b.feed(receive({ operation, body })));
    expect(getReasons(other)).toEqual(['operation-id-reused']);
  });

  it('does not claim a key on a VM that accepts no new work', () => {
    const table = createFixtureTable();
    const driver = startDriver();
    driver.feed({ type: 'accepting-changed', isAccepting: false, reason: 'isolated' });
    expect(getReasons(table.serve(driver, driver.feed(receive({ operation }))))).toEqual([
      'isolated',
    ]);
    expect(table.rows.size).toBe(0);
  });
});
