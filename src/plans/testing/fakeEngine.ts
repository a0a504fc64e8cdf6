/** Simulates the handling of orders by model engines, and records the orders that they apply. */

import type { EngineOrder, EngineState, OrderResult } from '../../contracts/engineContract';

/** An order that an engine applied. */
export interface AppliedOrder {
  readonly engine: string;
  readonly plan: string;
  readonly fencing: number;
  readonly atMs: number;
}

export interface FakeEngine {
  state: EngineState;
  highest: number;
  running: number;
  isDown: boolean;
  readonly checksFencing: boolean;
  /** Difference of its wall clock from the true one, milliseconds. */
  readonly skewMs: number;
}

/**
 * Applies an order as an engine does. An expired order is dropped; a stale one is refused if the engine
 * checks fencing numbers.
 *
 * @param engine the engine, whose state is changed
 * @param order the order
 * @param wallMs the true wall clock, milliseconds
 * @param applied receives the order if it is applied
 */
export function applyOrder(
  engine: FakeEngine,
  order: EngineOrder,
  wallMs: number,
  applied: AppliedOrder[],
): OrderResult {
  if (wallMs + engine.skewMs > order.expiresAtMs) return { type: 'expired' };
  if (engine.checksFencing && order.fencing < engine.highest) {
    return { type: 'fenced', highest: engine.highest };
  }
  engine.highest = Math.max(engine.highest, order.fencing);
  engine.state = order.wanted;
  const plan = order.order.split('/')[0] ?? '';
  applied.push({ engine: order.engine, plan, fencing: order.fencing, atMs: wallMs });
  return { type: 'done', state: order.wanted };
}
