import type { OperationEffect } from '../src/operations/operationMessage';
import {
  answerBackend,
  createFixtureTable,
  failBackend,
  peers,
  pick,
  receive,
  startDriver,
  type Driver,
  type TimelessEvent,
} from '../src/operations/operationsFixture';
import { createSession, type Session } from './createSession';

/** Has a driver write down all that it is fed from here on. */
function watch(session: Session, vm: string, driver: Driver): Driver {
  const feed = (...events: readonly TimelessEvent[]): readonly OperationEffect[] =>
    events.flatMap((event) => {
      const effects = driver.feed(event);
      session.record(vm, event, effects);
      return effects;
    });
  return { ...driver, feed };
}

const unavailable = { type: 'unavailable', detail: 'the table is down' } as const;

describe('operations golden', () => {
  it('a deposit whose reply is lost, and a booking whose reply is lost', () => {
    const session = createSession();
    const driver = startDriver();
    const ticket = driver.requestTicket();
    const a = watch(session, 'a', driver);
    session.say('Nothing settles a deposit: it is unknown, and its repeat is not run');
    a.feed(
      receive({ operation: `${ticket}/1` }),
      failBackend('d1', 'reset'),
      receive({ operation: `${ticket}/1`, call: 'c2' }),
    );
    session.say('A booking is repeated under its key at the same server, which answers again');
    const operation = `${ticket}/2`;
    a.feed(
      receive({ operation, call: 'c3', path: '/bookings' }),
      failBackend('d2', 'reset'),
      { type: 'timer-fired', timer: `settle kiambu/${operation}` },
      answerBackend('d3'),
      receive({ operation, call: 'c4', path: '/bookings' }),
    );
    expect(session.text()).toMatchSnapshot();
  });

  it('a seat hold whose home dies', () => {
    const session = createSession();
    const home = startDriver();
    const operation = `${home.requestTicket()}/1`;
    const other = startDriver({ vm: 'b' });
    const [a, b] = [watch(session, 'a', home), watch(session, 'b', other)];
    const table = createFixtureTable();
    session.say('The home sends the hold out');
    a.feed(receive({ operation, path: '/holds' }));
    session.say('The caller asks again through b, which forwards it; the home dies');
    b.feed(receive({ operation, call: 'c2', path: '/holds' }));
    const lost = b.feed({ type: 'forwarded', call: 'c2', result: { type: 'lost' } });
    session.say('Nothing is recorded, so the status look-ups are asked, and one knows');
    table.serve(b, lost);
    b.feed(answerBackend('d2', 404), answerBackend('d3'));
    expect(session.text()).toMatchSnapshot();
  });

  it('a store outage', () => {
    const session = createSession();
    const driver = startDriver();
    const ticket = driver.requestTicket();
    const a = watch(session, 'a', driver);
    session.say("A caller's own key can't be claimed: nothing is sent");
    const claim = pick(a.feed(receive({ operation: 'order 17' })), 'transact')[0]?.call ?? '';
    a.feed({ type: 'transacted', call: claim, result: unavailable });
    session.say('An operation under a ticket needs no table');
    const sent = a.feed(receive({ operation: `${ticket}/1`, call: 'c2' }));
    a.feed(answerBackend(pick(sent, 'call-backend')[0]?.dispatch ?? ''));
    session.say('Its result waits for the table');
    const batch = pick(a.feed({ type: 'timer-fired', timer: 'record' }), 'transact')[0]?.call;
    a.feed({ type: 'transacted', call: batch ?? '', result: unavailable });
    createFixtureTable().serve(a, a.feed({ type: 'timer-fired', timer: 'record-again' }));
    expect(session.text()).toMatchSnapshot();
  });

  it('a drain', () => {
    const session = createSession();
    const table = createFixtureTable();
    const [home, other] = [startDriver(), startDriver({ vm: 'b' })];
    const ticket = home.requestTicket();
    const [a, b] = [watch(session, 'a', home), watch(session, 'b', other)];
    session.say('Addresses are still good: operations are taken, tickets are not granted');
    a.feed(
      { type: 'drain-started' },
      { type: 'ticket-asked', call: 'c1', workspace: 'kiambu' },
      receive({ operation: `${ticket}/1`, call: 'c2' }),
    );
    session.say('They have lapsed: what comes late is refused, what runs ends');
    a.feed(
      { type: 'accepting-changed', isAccepting: false, reason: 'draining' },
      receive({ operation: `${ticket}/2`, call: 'c3' }),
      answerBackend('d1'),
    );
    session.say('The result goes to the table, and the VM is free to go');
    table.serve(a, a.feed({ type: 'timer-fired', timer: 'record' }));
    session.say('Another VM answers a repeat from the table');
    b.feed({ type: 'vms-changed', vms: peers.slice(1) });
    table.serve(b, b.feed(receive({ operation: `${ticket}/1`, call: 'c4' })));
    expect(session.text()).toMatchSnapshot();
  });
});
