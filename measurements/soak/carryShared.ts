/** Timers, counters and the table, for all sides. */

import { findFailure } from './findFailure';
import type { ReadResult, Row, Transaction, TransactionResult } from '../../src/contracts/table';
import type { SharedEffect } from '../../src/decisions/primitive';
import type { Carrier } from './carryOut';
import { deliver } from './deliver';
import { drawDelay, isStoreCut } from './network';
import type { SoakNode, Untimed, World } from './soakWorld';
import { rangeRows, transactRows } from './soakTable';

type EffectOf<Type extends SharedEffect['type']> = Extract<SharedEffect, { readonly type: Type }>;

/** Time after which a lost reply is given up, milliseconds. */
const STORE_TIMEOUT_MS = 1000;

/** Longest time by which a write takes effect late, milliseconds. */
const LATE_WRITE_MS = 2500;

/** Share of transactions that get no reply while the store is lossy. */
const LOST_SHARE = 0.35;

export const carryShared: Readonly<Record<string, Carrier>> = {
  'set-timer': (world, node, { timer, afterMs }: EffectOf<'set-timer'>, side) => {
    const name = `${side}/${timer}`;
    const token = (node.timers.get(name) ?? 0) + 1;
    node.timers.set(name, token);
    world.schedule(afterMs, () => {
      if (node.timers.get(name) !== token) return;
      node.timers.delete(name);
      deliver(world, node, { side, event: { type: 'timer-fired', timer } } as Untimed);
    });
  },
  'clear-timer': (_world, node, { timer }: EffectOf<'clear-timer'>, side) => {
    node.timers.delete(`${side}/${timer}`);
  },
  count: (world, node, { counter }: EffectOf<'count'>) => {
    if (counter !== 'invariant_violations') return;
    findFailure(world, 'violations', `${node.vm.id} counted ${counter}`);
  },
  transact: (world, node, { call, transaction }: EffectOf<'transact'>, side) => {
    const answer = (afterMs: number, result: TransactionResult): void => {
      world.schedule(afterMs, () => {
        deliver(world, node, { side, event: { type: 'transacted', call, result } } as Untimed);
      });
    };
    sendTransaction(world, node, transaction, answer);
  },
  'read-rows': (world, node, { call, table, keys }: EffectOf<'read-rows'>, side) => {
    const find = (): readonly Row[] =>
      keys.flatMap((key) => world.rows.get(`${table} ${key}`) ?? []);
    sendRead(world, node, call, side, find);
  },
  'read-range': (world, node, { call, range }: EffectOf<'read-range'>, side) => {
    sendRead(world, node, call, side, () => rangeRows(world.rows, range));
  },
};

function sendTransaction(
  world: World,
  node: SoakNode,
  transaction: Transaction,
  answer: (afterMs: number, result: TransactionResult) => void,
): void {
  const { random } = world;
  const delay = drawDelay(world);
  if (isStoreCut(world, node)) {
    answer(delay, { type: 'unavailable', detail: 'down' });
    return;
  }
  const isLossy = world.nowMs < world.until.storeLossy;
  if (isLossy && random.next() < LOST_SHARE) {
    const takesEffect = random.next() < 0.7;
    const lateMs = random.next() < 0.3 ? random.next() * LATE_WRITE_MS : 0;
    if (takesEffect) {
      world.schedule(delay + lateMs, () => transactRows(world.rows, transaction));
    }
    answer(STORE_TIMEOUT_MS, { type: 'ambiguous', detail: 'reply lost' });
    return;
  }
  world.schedule(delay, () => {
    answer(drawDelay(world), transactRows(world.rows, transaction));
  });
}

function sendRead(
  world: World,
  node: SoakNode,
  call: string,
  side: string,
  find: () => readonly Row[],
): void {
  const isLost = world.nowMs < world.until.storeLossy && world.random.next() < LOST_SHARE;
  const isDown = isStoreCut(world, node) || isLost;
  world.schedule(drawDelay(world), () => {
    const result: ReadResult = isDown
      ? { type: 'unavailable', detail: 'down' }
      : { type: 'rows', rows: find() };
    world.schedule(drawDelay(world), () => {
      deliver(world, node, { side, event: { type: 'rows-read', call, result } } as Untimed);
    });
  });
}
