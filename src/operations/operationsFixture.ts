/** A small fleet and a driver for tests of the operations side. */

import type { Configuration } from '../configuration/configuration';
import { createConfiguration } from '../configuration/createConfiguration';
import type { MethodContract } from '../contracts/methodContract';
import { createOperations } from './createOperations';
import type { OperationEffect, OperationEvent, PeerVm, PlainCall } from './operationMessage';
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

/** VMs of the fixture. */
export const peers: readonly PeerVm[] = ['a', 'b', 'c'].map((id, index) => ({
  id,
  incarnation: 100,
  http: { host: '127.0.0.1', port: 8000 + index },
  peer: { host: '127.0.0.1', port: 9000 + index },
}));

/** The configuration: backend servers `s1` to `s3` behind `desk`. */
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

/** Feeds events to one operations side and keeps its effects. */
export interface Driver {
  state: OperationsState;
  /** Feeds events, each a millisecond after the one before, and gives their effects. */
  readonly feed: (...events: readonly TimelessEvent[]) => readonly OperationEffect[];
  /** Moves the clock. */
  readonly wait: (ms: number) => void;
  /** Asks for a ticket and gives it. */
  readonly takeTicket: (workspace?: string) => string;
}

/** An event without its occurrence, which the driver adds. */
export type TimelessEvent = {
  readonly [Type in OperationEvent['type']]: Omit<
    Extract<OperationEvent, { readonly type: Type }>,
    'atMs' | 'seed'
  >;
}[OperationEvent['type']];

/** Starts VM `a` (or another) with the configuration, all VMs and all servers in good health. */
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
    takeTicket: (workspace = 'kiambu') => {
      const effects = driver.feed({ type: 'ticket-asked', call: 'ticket', workspace });
      return pick(effects, 'grant-ticket')[0]?.ticket ?? '';
    },
  };
  driver.feed(
    { type: 'configuration-changed', configuration: createFixtureConfiguration() },
    { type: 'vms-changed', vms: peers },
    { type: 'servers-changed', servers: ['s1', 's2', 's3'].map(getHealthy) },
  );
  return driver;
}

function getHealthy(server: string) {
  return { server, isUsable: true, weight: 1 };
}

/** The effects of one type. */
export function pick<Type extends OperationEffect['type']>(
  effects: readonly OperationEffect[],
  type: Type,
): readonly Extract<OperationEffect, { readonly type: Type }>[] {
  return effects.filter(
    (effect): effect is Extract<OperationEffect, { readonly type: Type }> => effect.type === type,
  );
}

/** A deposit, or another call that differs in some fields. */
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
