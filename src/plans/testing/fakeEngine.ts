/** Model engines in memory, as far as orders concern them, with a record of what they took. */

import type { EngineOrder, EngineState, OrderResult } from '../../contracts/engineContract';

/** An order that an engine took. */
export interface TakenOrder {
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
  /** Its wall clock less the true one, milliseconds. */
  readonly skewMs: number;
}

/**
 * Takes an order as an engine does: late ones are dropped, and stale ones refused where it checks.
 *
 * @param engine the engine; its state changes
 * @param order the order
 * @param wallMs the true wall clock
 * @param taken gets the order where it is taken
 */
export function takeOrder(
  engine: FakeEngine,
  order: EngineOrder,
  wallMs: number,
  taken: TakenOrder[],
): OrderResult {
  if (wallMs + engine.skewMs > order.expiresAtMs) return { type: 'expired' };
  if (engine.checksFencing && order.fencing < engine.highest) {
    return { type: 'fenced', highest: engine.highest };
  }
  engine.highest = Math.max(engine.highest, order.fencing);
  engine.state = order.wanted;
  const plan = order.order.split('/')[0] ?? '';
  taken.push({ engine: order.engine, plan, fencing: order.fencing, atMs: wallMs });
  return { type: 'done', state: order.wanted };
}
