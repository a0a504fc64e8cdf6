/**
 * A small network of fleet reducers under virtual time: delays, loss, cuts, pauses, a table that may
 * be down and backend servers that may leave. Membership, configuration and control measurements and
 * the failure tests of the fleet side share it.
 */

import { encode } from '@msgpack/msgpack';
import TinyQueue from 'tinyqueue';
import { buildCommitTransaction } from '../src/configuration/buildCommitTransaction';
import type { Change, Configuration } from '../src/configuration/configuration';
import { CONFIGURATION_TABLE, HEAD_KEY } from '../src/configuration/configurationConstants';
import { decodeHead } from '../src/configuration/decodeHead';
import { encodeHead } from '../src/configuration/encodeHead';
import type { Row, Transaction } from '../src/contracts/table';
import { createRandom } from '../src/random/createRandom';
import type { Random } from '../src/random/createRandom';
import type { FleetEffect, FleetEvent } from '../src/vms/fleetMessage';
import { reduceFleet } from '../src/vms/reduceFleet';
import type { Address } from '../src/vms/vm';
import { createVirtualVm } from './createVirtualVm';
import { drawLoad } from './drawLoad';
import { packDatagram, unpackDatagram } from './meteredChannel';
import type { VirtualFleetOptions, VirtualServer, VirtualVm } from './virtualVm';

interface Item {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** One-way delay inside a region and between regions, milliseconds. */
const NEAR_MS = 0.3;
const FAR_MS = 60;

const OPERATOR = { operator: 'operator', reason: 'measurement' };

export class VirtualFleet {
  readonly vms: VirtualVm[] = [];
  readonly servers = new Map<string, VirtualServer>();
  readonly random: Random;
  nowMs = 0;
  lossRate: number;
  isStoreUp = true;
  /** Whether nothing gets from one VM to another. */
  isCut: (from: VirtualVm, to: VirtualVm) => boolean = () => false;
  /** Whether a VM cannot reach the store. */
  isStoreCut: (from: VirtualVm) => boolean = () => false;
  /** Whether a VM cannot reach a backend server. */
  isServerCut: (from: VirtualVm, server: string) => boolean = () => false;
  onEffect: (vm: VirtualVm, effect: FleetEffect) => void = () => undefined;
  private readonly rows = new Map<string, Row>();
  private readonly queue = new TinyQueue<Item>([], (one, other) =>
    one.atMs === other.atMs ? one.order - other.order : one.atMs - other.atMs,
  );
  private readonly byAddress = new Map<string, VirtualVm>();
  private readonly byId = new Map<string, VirtualVm>();
  private order = 0;

  constructor(private readonly options: VirtualFleetOptions) {
    this.random = createRandom(options.seed);
    this.lossRate = options.lossRate ?? 0;
    for (let index = 0; index < options.nodes; index += 1) this.add(index, 1);
  }

  /** Adds a VM that is not started; one of the same index before it is replaced. */
  add(index: number, incarnation: number): VirtualVm {
    const virtual = createVirtualVm(index, {
      ...this.options,
      incarnation,
      clockOffsetMs: this.random.integer(1_000_000),
    });
    this.vms[index] = virtual;
    this.byAddress.set(keyOf(virtual.vm.addresses.gossip), virtual);
    this.byId.set(virtual.vm.id, virtual);
    return virtual;
  }

  start(virtual: VirtualVm): void {
    virtual.isUp = true;
    const seeds = this.vms.slice(0, 3).map(({ vm }) => vm.addresses.gossip);
    this.deliver(virtual, { type: 'started', vm: virtual.vm, seeds });
  }

  /** Starts every VM at a random moment of the first half second. */
  startAll(): void {
    const startAt = (virtual: VirtualVm): void => {
      this.schedule(this.random.next() * 500, this.start.bind(this, virtual));
    };
    this.vms.forEach(startAt);
  }

  /** The VM that has this id now. */
  find(id: string): VirtualVm | undefined {
    return this.byId.get(id);
  }

  kill(virtual: VirtualVm): void {
    virtual.isUp = false;
  }

  /** Holds all events of a VM back for a while. */
  pause(virtual: VirtualVm, forMs: number): void {
    virtual.pausedUntilMs = this.nowMs + forMs;
  }

  run(forMs: number): void {
    const untilMs = this.nowMs + forMs;
    for (;;) {
      const item = this.queue.peek();
      if (item === undefined || item.atMs > untilMs) break;
      this.queue.pop();
      this.nowMs = item.atMs;
      item.run();
    }
    this.nowMs = untilMs;
  }

  schedule(afterMs: number, run: () => void): void {
    this.order += 1;
    this.queue.push({ atMs: this.nowMs + afterMs, order: this.order, run });
  }

  /** Commits a revision straight to the table; `by` hears of it as the plans side would tell it. */
  commit(changes: readonly Change[], by?: VirtualVm): number {
    const head = this.rows.get(HEAD_KEY);
    const number = (head === undefined ? 0 : (decodeHead(head.value)?.revision ?? 0)) + 1;
    const revision = { number, changeId: `change-${number}`, changes, ...OPERATOR };
    this.write(buildCommitTransaction(revision, head?.version ?? 0));
    if (by !== undefined) this.deliver(by, { type: 'head-committed', revision: number });
    return number;
  }

  private write({ writes }: Transaction): void {
    for (const { table, key, value = '' } of writes) {
      const version = (this.rows.get(key)?.version ?? 0) + 1;
      this.rows.set(key, { table, key, value, version });
    }
  }

  /** Lets VMs that have not started hold a configuration already, one object for all of them. */
  preload(configuration: Configuration): void {
    const value = encodeHead({ revision: configuration.revision, changeId: 'preloaded' });
    this.rows.set(HEAD_KEY, { table: CONFIGURATION_TABLE, key: HEAD_KEY, value, version: 1 });
    const head = configuration.revision;
    for (const virtual of this.vms) {
      const state = { ...virtual.fleet.configuration, applied: configuration, head };
      virtual.fleet = { ...virtual.fleet, configuration: state };
    }
  }

  /** Hands an event to a VM, with the time of its own clock and fresh randomness. */
  deliver(virtual: VirtualVm, event: DistributiveOmit<FleetEvent, 'atMs' | 'seed'>): void {
    if (!virtual.isUp || this.vms[virtual.index] !== virtual) return;
    const heldMs = virtual.pausedUntilMs - this.nowMs;
    if (heldMs > 0) {
      this.schedule(heldMs, this.deliver.bind(this, virtual, event));
      return;
    }
    const atMs = this.nowMs + virtual.clockOffsetMs;
    const seed = this.random.integer(0x1_0000_0000);
    const before = this.options.isMetered === true ? process.hrtime.bigint() : 0n;
    const decision = reduceFleet(virtual.fleet, { ...event, atMs, seed });
    if (this.options.isMetered === true) virtual.cpuNanos += process.hrtime.bigint() - before;
    virtual.fleet = decision.state;
    for (const effect of decision.effects) {
      this.onEffect(virtual, effect);
      this.carryOut(virtual, effect);
    }
  }

  private carryOut(virtual: VirtualVm, effect: FleetEffect): void {
    const carry = this.carriers[effect.type];
    carry?.(virtual, effect as never);
  }

  private readonly carriers: Readonly<Partial<Record<FleetEffect['type'], Carrier>>> = {
    'set-timer': (virtual, { timer, afterMs }: EffectOf<'set-timer'>) => {
      const token = (virtual.timers.get(timer) ?? 0) + 1;
      virtual.timers.set(timer, token);
      this.schedule(afterMs, () => {
        if (virtual.timers.get(timer) === token) {
          this.deliver(virtual, { type: 'timer-fired', timer });
        }
      });
    },
    'send-datagram': (virtual, { to, body }: EffectOf<'send-datagram'>) => {
      this.sendDatagram(virtual, to, body);
    },
    'send-message': (virtual, { to, body }: EffectOf<'send-message'>) => {
      if (this.options.isMetered === true) virtual.messageBytes += encode(body).length;
      const target = this.byId.get(to.id);
      if (target === undefined) return;
      this.schedule(3 * this.delay(virtual, target), () => {
        if (this.isCut(virtual, target) || this.isCut(target, virtual)) return;
        this.deliver(target, { type: 'message-received', from: virtual.vm.id, body });
      });
    },
    'list-vms': (virtual) => {
      virtual.storeCalls += 1;
      const isDown = !this.isStoreUp || this.isStoreCut(virtual);
      const running = this.vms.filter(({ isUp }) => isUp);
      const vms = running.map(
        ({ vm }) => ({ vm: { ...vm, incarnation: 0 }, state: 'live' }) as const,
      );
      this.schedule(5, () => {
        this.deliver(virtual, {
          type: 'listed',
          result: isDown ? { type: 'unavailable', detail: 'down' } : { type: 'listed', vms },
        });
      });
    },
    'read-rows': (virtual, { call, keys }: EffectOf<'read-rows'>) => {
      this.answerRead(virtual, call, () => keys.flatMap((key) => this.rows.get(key) ?? []));
    },
    'read-range': (virtual, { call, range }: EffectOf<'read-range'>) => {
      const isInside = (key: string): boolean =>
        key >= range.from && (range.to === undefined || key < range.to);
      this.answerRead(virtual, call, () =>
        [...this.rows.values()]
          .filter((row) => row.table === range.table && isInside(row.key))
          .slice(0, range.limit),
      );
    },
    'probe-server': (virtual, { server, askedAtMs }: EffectOf<'probe-server'>) => {
      this.probeServer(virtual, server, askedAtMs);
    },
  };

  private sendDatagram(virtual: VirtualVm, to: Address, body: unknown): void {
    virtual.sentDatagrams += 1;
    const isMetered = this.options.isMetered === true;
    const packed = isMetered ? packDatagram(virtual, body) : undefined;
    const target = this.byAddress.get(keyOf(to));
    if (target === undefined || this.random.next() < this.lossRate) return;
    this.schedule(this.delay(virtual, target), () => {
      const current = this.byAddress.get(keyOf(to));
      if (this.isCut(virtual, target) || current?.isUp !== true) return;
      this.deliver(current, {
        type: 'datagram-received',
        from: virtual.vm.addresses.gossip,
        body: packed === undefined ? body : unpackDatagram(current, packed),
      });
    });
  }

  private answerRead(virtual: VirtualVm, call: string, read: () => readonly Row[]): void {
    virtual.storeCalls += 1;
    const isDown = !this.isStoreUp || this.isStoreCut(virtual);
    this.schedule(5 + this.random.next() * 10, () => {
      this.deliver(virtual, {
        type: 'rows-read',
        call,
        result: isDown ? { type: 'unavailable', detail: 'down' } : { type: 'rows', rows: read() },
      });
    });
  }

  private probeServer(virtual: VirtualVm, server: string, askedAtMs: number): void {
    virtual.probes += 1;
    const fake = this.servers.get(server);
    const isReachable = fake?.isUp === true && !this.isServerCut(virtual, server);
    this.schedule(1 + this.random.next(), () => {
      this.deliver(virtual, {
        type: 'probe-answered',
        server,
        result: isReachable ? fake.state : 'unreachable',
        incarnation: fake?.incarnation ?? '',
        askedAtMs,
      });
      if (isReachable && fake.isEngine === true) this.reportLoad(virtual, server);
    });
  }

  private reportLoad(virtual: VirtualVm, engine: string): void {
    const report = drawLoad(engine, Math.floor(this.nowMs), this.random);
    this.deliver(virtual, { type: 'load-observed', report });
  }

  private delay(from: VirtualVm, to: VirtualVm): number {
    const base = from.vm.region === to.vm.region ? NEAR_MS : FAR_MS;
    return base * (1 + this.random.next());
  }
}

type EffectOf<Type extends FleetEffect['type']> = Extract<FleetEffect, { readonly type: Type }>;
type Carrier = (virtual: VirtualVm, effect: never) => void;
type DistributiveOmit<Union, Keys extends PropertyKey> = Union extends unknown
  ? Omit<Union, Keys>
  : never;

function keyOf(address: Address): string {
  return `${address.host}:${address.port}`;
}
