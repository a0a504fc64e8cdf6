/**
 * Operations through the reducer of one VM on one core, and the rows that it writes for them: results
 * behind the answers under tickets, beside a claim for each operation as the baseline.
 */

import { answerBackend, pick, receive, startDriver } from '../src/operations/operationsFixture';
import type { Driver } from '../src/operations/operationsFixture';
import { MS_PER_SECOND } from '../src/units';
import type { Measurement } from './measurement';
import { createHistogram, percentile } from './percentile';

/** Operations that are timed. */
const OPERATIONS = 40_000;

/** Operations before, which warm the code up. */
const WARM_UP = 5_000;

/** Operations a second on each VM while rows are counted, and for how long, seconds. */
const RATE = 100;
const COUNTED_SECONDS = 60;

/** Nanoseconds in a microsecond. */
const NANOS_PER_MICRO = 1000;

export const operations: Measurement = ({ seed, nodes }, print) => {
  const speed = timeOperations(seed);
  const ticketRows = countTicketRows(nodes);
  const claimRows = countClaimRows(nodes);
  const figures = {
    seed,
    nodes,
    operationsPerSecond: Math.round(speed.perSecond),
    p50Micros: speed.p50Micros,
    p99Micros: speed.p99Micros,
    operationsPerSecondPerNode: RATE,
    rowsPerSecondTickets: ticketRows,
    rowsPerSecondClaims: claimRows,
    hopsAtHome: countHops('a'),
    hopsElsewhere: countHops('b'),
  };
  print(`${figures.operationsPerSecond} operations a second on one core, with their results kept`);
  print(`${nodes} VMs at ${RATE} operations a second each, rows a second of all of them:`);
  print(`  tickets, results written behind the answers: ${ticketRows}`);
  print(`  baseline, a claim and a result for each operation: ${claimRows}`);
  return Promise.resolve(figures);
};

function timeOperations(seed: number) {
  const driver = startDriver({ ticketKeys: [`key ${seed}`] });
  runBatch(driver, WARM_UP);
  const micros: number[] = [];
  const startedAt = process.hrtime.bigint();
  runBatch(driver, OPERATIONS, (nanos) => micros.push(nanos / NANOS_PER_MICRO));
  const seconds = Number(process.hrtime.bigint() - startedAt) / 1e9;
  const histogram = createHistogram(micros);
  return {
    perSecond: OPERATIONS / seconds,
    p50Micros: percentile(histogram, 50),
    p99Micros: percentile(histogram, 99),
  };
}

/** Runs operations to their end under tickets, each ticket for ten of them, and records results. */
function runBatch(driver: Driver, count: number, tell?: (nanos: number) => void): void {
  let ticket = '';
  for (let index = 0; index < count; index += 1) {
    const startedAt = process.hrtime.bigint();
    if (index % 10 === 0) ticket = driver.requestTicket();
    runOne(driver, `${ticket}/${(index % 10) + 1}`);
    if (index % RATE === 0) flush(driver);
    tell?.(Number(process.hrtime.bigint() - startedAt));
  }
}

/** Runs one operation; a measurement of refusals would say nothing, so one that is refused fails. */
function runOne(driver: Driver, operation: string): void {
  const tick = driver.feed({ type: 'timer-fired', timer: 'tick' });
  const sent = driver.feed(receive({ operation, call: operation }));
  const done = driver.feed(answerBackend(pick(sent, 'call-backend')[0]?.dispatch ?? ''));
  const [answer] = pick(done, 'answer');
  if (tick.length !== 1 || answer?.result.type !== 'answered') {
    throw new Error(`Operation ${operation} was not answered`);
  }
}

/** Fires the timer for results, commits the batch, and gives its rows. */
function flush(driver: Driver): number {
  const sent = driver.feed({ type: 'timer-fired', timer: 'record' });
  const [batch] = pick(sent, 'transact');
  if (batch === undefined) return 0;
  const versions = batch.transaction.writes.map(() => 1);
  driver.feed({
    type: 'transacted',
    call: batch.call,
    result: { type: 'committed', versions },
  });
  return batch.transaction.writes.length;
}

/** Rows a second of all VMs, up to the end of the pause that the last batch earned. */
function countTicketRows(nodes: number): number {
  const driver = startDriver();
  driver.feed({ type: 'vms-changed', vms: listPeers(nodes - 1) });
  let rows = 0;
  let dueAtMs = 0;
  for (let second = 0; second < COUNTED_SECONDS; second += 1) {
    const ticket = driver.requestTicket();
    for (let sequence = 1; sequence <= RATE; sequence += 1) runOne(driver, `${ticket}/${sequence}`);
    if (second * MS_PER_SECOND < dueAtMs) continue;
    rows += flush(driver);
    dueAtMs = second * MS_PER_SECOND + driver.state.recordPauseMs;
  }
  const seconds = Math.max(COUNTED_SECONDS, dueAtMs / MS_PER_SECOND);
  return round((rows / seconds) * nodes);
}

function countClaimRows(nodes: number): number {
  const driver = startDriver();
  let rows = 0;
  for (let index = 0; index < RATE; index += 1) {
    const claim = pick(driver.feed(receive({ operation: `order ${index}` })), 'transact')[0];
    rows += claim?.transaction.writes.length ?? 0;
    const committed = { type: 'committed', versions: [1] } as const;
    const sent = driver.feed({ type: 'transacted', call: claim?.call ?? '', result: committed });
    const done = driver.feed(answerBackend(pick(sent, 'call-backend')[0]?.dispatch ?? ''));
    if (pick(done, 'answer').length !== 1) throw new Error(`Operation ${index} was not answered`);
  }
  for (let written = flush(driver); written > 0; written = flush(driver)) rows += written;
  return rows * nodes;
}

/** Forwards that one booking takes at the home's VM or at another one. */
function countHops(vm: string): number {
  const operation = `${startDriver().requestTicket()}/1`;
  const effects = startDriver({ vm }).feed(receive({ operation, path: '/bookings' }));
  return pick(effects, 'forward').length;
}

function listPeers(count: number) {
  return Array.from({ length: count }, (_, index) => ({
    id: `vm${index}`,
    incarnation: 1,
    http: { host: '127.0.0.1', port: 8000 },
    peer: { host: '127.0.0.1', port: 9000 },
  }));
}

function round(value: number): number {
  return Number(value.toFixed(1));
}
