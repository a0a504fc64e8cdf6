import {
  answerBackend,
  createFixtureTable,
  getOutcomes,
  getReasons,
  peers,
  pick,
  receive,
  startDriver,
} from './operationsFixture';

const ownerRemoved = { type: 'vms-changed', vms: peers.slice(1) } as const;

describe('resolveOutcome', () => {
  it('never dispatches an operation whose owner was removed', () => {
    const operation = `${startDriver().requestTicket()}/1`;
    const table = createFixtureTable();
    const b = startDriver({ vm: 'b' });
    b.feed(ownerRemoved);
    const effects = table.serve(b, b.feed(receive({ operation })));
    expect(pick(effects, 'call-backend')).toEqual([]);
    expect(getReasons(effects)).toEqual(['home-gone']);
    expect(getOutcomes(effects)).toEqual(['unknown']);
  });

  it('answers with the outcome that the owner recorded before it was removed', () => {
    const table = createFixtureTable();
    const [a, b] = [startDriver(), startDriver({ vm: 'b' })];
    const operation = `${a.requestTicket()}/1`;
    a.feed(receive({ operation }), answerBackend('d1'));
    table.serve(a, a.feed({ type: 'timer-fired', timer: 'record' }));
    b.feed(ownerRemoved);
    const call = { operation, call: 'c2' };
    expect(getOutcomes(table.serve(b, b.feed(receive(call))))).toEqual(['run d1']);
    const reused = table.serve(b, b.feed(receive({ ...call, body: '{"ring":8}' })));
    expect(getReasons(reused)).toEqual(['operation-id-reused']);
  });

  it('queries the status look-up of each server in turn and accepts only a 200', () => {
    const operation = `${startDriver().requestTicket()}/1`;
    const table = createFixtureTable();
    const b = startDriver({ vm: 'b' });
    b.feed(ownerRemoved);
    const first = table.serve(b, b.feed(receive({ operation, path: '/holds' })));
    const [ask] = pick(first, 'call-backend');
    expect(ask).toMatchObject({ method: 'GET', body: '' });
    const second = b.feed(answerBackend(ask?.dispatch ?? '', 404));
    const [next] = pick(second, 'call-backend');
    expect(next?.server).not.toBe(ask?.server);
    const known = b.feed(answerBackend(next?.dispatch ?? ''));
    expect(getOutcomes(known)).toEqual([`run ${next?.dispatch ?? ''}`]);
  });

  it('refuses as unknown if no server knows the operation', () => {
    const operation = `${startDriver().requestTicket()}/1`;
    const table = createFixtureTable();
    const b = startDriver({ vm: 'b' });
    b.feed(ownerRemoved);
    let effects = table.serve(b, b.feed(receive({ operation, path: '/holds' })));
    for (let asked = 0; asked < 3; asked += 1) {
      const [ask] = pick(effects, 'call-backend');
      effects = b.feed(answerBackend(ask?.dispatch ?? '', 404));
    }
    expect(getOutcomes(effects)).toEqual(['unknown']);
  });

  it('treats the owner as removed if the same VM has another incarnation', () => {
    const operation = `${startDriver().requestTicket()}/1`;
    const table = createFixtureTable();
    const replaced = startDriver({ vm: 'a', incarnation: 200 });
    const effects = table.serve(replaced, replaced.feed(receive({ operation })));
    expect(pick(effects, 'call-backend')).toEqual([]);
    expect(getReasons(effects)).toEqual(['home-gone']);
  });

  it('does not forward a call that was already forwarded', () => {
    const operation = `${startDriver({ vm: 'c' }).requestTicket()}/1`;
    const driver = startDriver();
    const effects = driver.feed(receive({ operation, forwardedBy: 'b' }));
    expect(pick(effects, 'forward')).toEqual([]);
  });

  it.each(['lost', 'unreachable'] as const)('refuses as unknown if a forward was %s', (type) => {
    const operation = `${startDriver({ vm: 'b' }).requestTicket()}/1`;
    const table = createFixtureTable();
    const driver = startDriver();
    driver.feed(receive({ operation }));
    const result = { type };
    const effects = table.serve(driver, driver.feed({ type: 'forwarded', call: 'c1', result }));
    expect(getReasons(effects)).toEqual([`home-${type}`]);
    expect(getOutcomes(effects)).toEqual(['unknown']);
  });

  it('never dispatches a call whose outcome was queried before the call arrived', () => {
    const driver = startDriver();
    const operation = `${driver.requestTicket()}/1`;
    const asked = driver.feed({
      type: 'operation-asked',
      call: 'q1',
      workspace: 'kiambu',
      operation,
    });
    expect(getReasons(asked)).toEqual(['never-received']);
    const late = driver.feed(receive({ operation, asksOutcome: false }));
    expect(pick(late, 'call-backend')).toEqual([]);
    expect(getOutcomes(late)).not.toContain('answered');
  });
});
