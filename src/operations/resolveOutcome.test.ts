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

const homeGone = { type: 'vms-changed', vms: peers.slice(1) } as const;

describe('resolveOutcome', () => {
  it('never dispatches for a home that is gone', () => {
    const operation = `${startDriver().takeTicket()}/1`;
    const table = createFixtureTable();
    const b = startDriver({ vm: 'b' });
    b.feed(homeGone);
    const effects = table.serve(b, b.feed(receive({ operation })));
    expect(pick(effects, 'call-backend')).toEqual([]);
    expect(getReasons(effects)).toEqual(['home-gone']);
    expect(getOutcomes(effects)).toEqual(['unknown']);
  });

  it('gives the outcome that the home recorded before it went', () => {
    const table = createFixtureTable();
    const [a, b] = [startDriver(), startDriver({ vm: 'b' })];
    const operation = `${a.takeTicket()}/1`;
    a.feed(receive({ operation }), answerBackend('d1'));
    table.serve(a, a.feed({ type: 'timer-fired', timer: 'record' }));
    b.feed(homeGone);
    const call = { operation, call: 'c2' };
    expect(getOutcomes(table.serve(b, b.feed(receive(call))))).toEqual(['run d1']);
    const reused = table.serve(b, b.feed(receive({ ...call, body: '{"ring":8}' })));
    expect(getReasons(reused)).toEqual(['operation-id-reused']);
  });

  it('asks every server of a method with a status look-up, and believes only a 200', () => {
    const operation = `${startDriver().takeTicket()}/1`;
    const table = createFixtureTable();
    const b = startDriver({ vm: 'b' });
    b.feed(homeGone);
    const first = table.serve(b, b.feed(receive({ operation, path: '/holds' })));
    const [ask] = pick(first, 'call-backend');
    expect(ask).toMatchObject({ method: 'GET', body: '' });
    const second = b.feed(answerBackend(ask?.dispatch ?? '', 404));
    const [next] = pick(second, 'call-backend');
    expect(next?.server).not.toBe(ask?.server);
    const known = b.feed(answerBackend(next?.dispatch ?? ''));
    expect(getOutcomes(known)).toEqual([`run ${next?.dispatch ?? ''}`]);
  });

  it('says unknown where no server knows the operation', () => {
    const operation = `${startDriver().takeTicket()}/1`;
    const table = createFixtureTable();
    const b = startDriver({ vm: 'b' });
    b.feed(homeGone);
    let effects = table.serve(b, b.feed(receive({ operation, path: '/holds' })));
    for (let asked = 0; asked < 3; asked += 1) {
      const [ask] = pick(effects, 'call-backend');
      effects = b.feed(answerBackend(ask?.dispatch ?? '', 404));
    }
    expect(getOutcomes(effects)).toEqual(['unknown']);
  });

  it('treats the same VM under another incarnation as gone', () => {
    const operation = `${startDriver().takeTicket()}/1`;
    const table = createFixtureTable();
    const replaced = startDriver({ vm: 'a', incarnation: 200 });
    const effects = table.serve(replaced, replaced.feed(receive({ operation })));
    expect(pick(effects, 'call-backend')).toEqual([]);
    expect(getReasons(effects)).toEqual(['home-gone']);
  });

  it('does not forward a call on that was forwarded', () => {
    const operation = `${startDriver({ vm: 'c' }).takeTicket()}/1`;
    const driver = startDriver();
    const effects = driver.feed(receive({ operation, forwardedBy: 'b' }));
    expect(pick(effects, 'forward')).toEqual([]);
  });

  it.each(['lost', 'unreachable'] as const)('says unknown after a forward was %s', (type) => {
    const operation = `${startDriver({ vm: 'b' }).takeTicket()}/1`;
    const table = createFixtureTable();
    const driver = startDriver();
    driver.feed(receive({ operation }));
    const result = { type };
    const effects = table.serve(driver, driver.feed({ type: 'forwarded', call: 'c1', result }));
    expect(getReasons(effects)).toEqual([`home-${type}`]);
    expect(getOutcomes(effects)).toEqual(['unknown']);
  });

  it('shuts a number at its home when its outcome is asked for before it came', () => {
    const driver = startDriver();
    const operation = `${driver.takeTicket()}/1`;
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
