/** A small fleet, a driver and an in-memory table for tests of the operations component. */

import type { Configuration } from '../configuration/configuration';
import { createConfiguration } from '../configuration/createConfiguration';
import type { MethodContract } from '../contracts/methodContract';
import type { Row, Transaction, TransactionResult } from '../contracts/table';
import { createOperations } from './createOperations';
import type {
  CallFailure,
  OperationEffect,
  OperationEvent,
  PeerVm,
  PlainCall,
} from './operationMessage';
import type { OperationsOptions, OperationsState } from './operationsState';
import { reduceOperations } from './reduceOperations';

const contract: MethodContract = {
  method: 'POST',
  path: '/deposits',
  isIdempotent: false,
  honoursIdempotencyKey: false,
  timeoutMs: 1000,
  maxBodyBytes: 64,
};

/** Contracts of the one plain service, `desk`, of workspace `kiambu`. */
const contracts: readonly MethodContract[] = [
  contract,
  { ...contract, path: '/bookings', honoursIdempotencyKey: true },
  { ...contract, path: '/holds', statusPath: '/status/{id}' },
  { ...contract, method: 'GET', path: '/jobs/*', isIdempotent: true },
];

/** VMs of the fixture's fleet. */
export const peers: readonly PeerVm[] = ['a', 'b', 'c'].map((id, index) => ({
  id,
  incarnation: 100,
  http: { host: '127.0.0.1', port: 8000 + index },
  peer: { host: '127.0.0.1', port: 9000 + index },
}));

/** Creates the configuration, with backend servers `s1` to `s3` for `desk`. */
export function createFixtureConfiguration(leaving: readonly string[] = []): Configuration {
  const servers = ['s1', 's2', 's3'];
  return {
    ...createConfiguration(),
    revision: 1,
    backendServer: new Map(
      servers.map((id, index) => [
        id,
        {
          id,
          kind: 'plain',
          failureDomain: 'fd1',
          address: { host: '127.0.0.1', port: 7000 + index },
          checksFencing: false,
          leaving: leaving.includes(id),
        },
      ]),
    ),
    service: new Map(
      ['kiambu', 'derwent'].map((workspace) => [
        `${workspace}/desk`,
        { kind: 'plain', id: 'desk', workspace, backendServers: servers, contracts },
      ]),
    ),
  };
}

/** Feeds events to one operations component and keeps its state. */
export interface Driver {
  state: OperationsState;
  /** Feeds events, each a millisecond after the previous one, and returns their effects. */
  readonly feed: (...events: readonly TimelessEvent[]) => readonly OperationEffect[];
  /** Advances the clock. */
  readonly wait: (ms: number) => void;
  /** Requests a ticket and returns it. */
  readonly requestTicket: (workspace?: string) => string;
}

/** An event without its occurrence, which the driver adds. */
export type TimelessEvent = {
  readonly [Type in OperationEvent['type']]: Omit<
    Extract<OperationEvent, { readonly type: Type }>,
    'atMs' | 'seed'
  >;
}[OperationEvent['type']];

/** Starts VM `a`, or that of the options, with the configuration, all VMs and only healthy servers. */
export function startDriver(options: Partial<OperationsOptions> = {}): Driver {
  let atMs = 1000;
  const start = createOperations({
    vm: 'a',
    incarnation: 100,
    ticketKeys: ['key one'],
    ...options,
  });
  const driver: Driver = {
    state: start,
    feed: (...events) =>
      events.flatMap((event) => {
        atMs += 1;
        const decision = reduceOperations(driver.state, {
          ...event,
          atMs,
          seed: atMs,
        });
        driver.state = decision.state;
        return decision.effects;
      }),
    wait: (ms) => {
      atMs += ms;
    },
    requestTicket: (workspace = 'kiambu') => {
      const effects = driver.feed({ type: 'ticket-asked', call: 'ticket', workspace });
      return pick(effects, 'grant-ticket')[0]?.ticket ?? '';
    },
  };
  driver.feed(
    { type: 'configuration-changed', configuration: createFixtureConfiguration() },
    { type: 'accepting-changed', isAccepting: true, reason: '' },
    { type: 'vms-changed', vms: peers },
    { type: 'servers-changed', servers: ['s1', 's2', 's3'].map(createHealthyServer) },
  );
  return driver;
}

function createHealthyServer(server: string) {
  return { server, isUsable: true, weight: 1 };
}

/** Returns the effects of one type. */
export function pick<Type extends OperationEffect['type']>(
  effects: readonly OperationEffect[],
  type: Type,
): readonly Extract<OperationEffect, { readonly type: Type }>[] {
  return effects.filter(
    (effect): effect is Extract<OperationEffect, { readonly type: Type }> => effect.type === type,
  );
}

/** Creates the call of a deposit, in which `fields` override the defaults. */
export function createCall(fields: Partial<PlainCall> = {}): PlainCall {
  return {
    call: 'c1',
    workspace: 'kiambu',
    service: 'desk',
    method: 'POST',
    path: '/deposits',
    body: '{"ring":7}',
    contentType: 'application/json',
    ...fields,
  };
}

/** Creates the event of a received call. */
export function receive(fields: Partial<PlainCall> = {}): TimelessEvent {
  return { type: 'call-received', call: createCall(fields) };
}

/** Creates the event of a backend server's answer; the body names the dispatch. */
export function answerBackend(dispatch: string, status = 200, notRun = false): TimelessEvent {
  const answer = { status, contentType: 'text/plain', body: `run ${dispatch}` };
  return { type: 'backend-answered', dispatch, answer, notRun };
}

/** Creates the event of a failed call to a backend server. */
export function failBackend(dispatch: string, failure: CallFailure): TimelessEvent {
  return { type: 'backend-failed', dispatch, failure, detail: failure };
}

/** Returns the outcomes of all answers, in order; for an answered call, the body. */
export function getOutcomes(effects: readonly OperationEffect[]): readonly string[] {
  return pick(effects, 'answer').map(({ result }) =>
    result.type === 'answered' ? result.answer.body : result.refusal.outcome,
  );
}

/** Returns the reasons of all answers, in order. */
export function getReasons(effects: readonly OperationEffect[]): readonly string[] {
  return pick(effects, 'answer').map(({ result }) =>
    result.type === 'answered' ? 'answered' : result.refusal.reason,
  );
}

/** An in-memory table that answers immediately. */
export interface FixtureTable {
  readonly rows: Map<string, Row>;
  /** Executes all table effects, including those that follow from them, and returns every effect. */
  readonly serve: (
    driver: Driver,
    effects: readonly OperationEffect[],
  ) => readonly OperationEffect[];
}

/** Creates an empty table, which several drivers may share. */
export function createFixtureTable(): FixtureTable {
  const rows = new Map<string, Row>();
  return {
    rows,
    serve: (driver, effects) => {
      const all = [...effects];
      for (const effect of all) {
        const event = answerTable(rows, effect);
        if (event !== undefined) all.push(...driver.feed(event));
      }
      return all;
    },
  };
}

function answerTable(rows: Map<string, Row>, effect: OperationEffect): TimelessEvent | undefined {
  if (effect.type === 'transact') {
    const { call, transaction } = effect;
    return { type: 'transacted', call, result: transact(rows, transaction) };
  }
  if (effect.type === 'read-rows') {
    const found = effect.keys.flatMap((key) => rows.get(`${effect.table} ${key}`) ?? []);
    return { type: 'rows-read', call: effect.call, result: { type: 'rows', rows: found } };
  }
  if (effect.type !== 'read-range') return undefined;
  const { table, from, to = '\uffff', limit } = effect.range;
  const found = [...rows.values()]
    .filter((row) => row.table === table && row.key >= from && row.key < to)
    .sort((left, right) => (left.key < right.key ? -1 : 1));
  const result = { type: 'rows', rows: found.slice(0, limit) } as const;
  return { type: 'rows-read', call: effect.call, result };
}

function transact(rows: Map<string, Row>, transaction: Transaction): TransactionResult {
  const failed = transaction.conditions.filter(
    ({ table, key, version }) => (rows.get(`${table} ${key}`)?.version ?? 0) !== version,
  );
  if (failed.length > 0) {
    const found = failed.map(
      ({ table, key }) => rows.get(`${table} ${key}`) ?? { table, key, value: '', version: 0 },
    );
    return { type: 'conflict', rows: found };
  }
  const versions = transaction.writes.map(({ table, key, value }) => {
    const name = `${table} ${key}`;
    const version = (rows.get(name)?.version ?? 0) + 1;
    if (value === undefined) rows.delete(name);
    else rows.set(name, { table, key, value, version });
    return value === undefined ? 0 : version;
  });
  return { type: 'committed', versions };
}
