/** Applies orders to an engine's state; rejects expired, fenced and impossible ones. */

import type { EngineOrder, EngineState, OrderResult } from '../../src/contracts/engineContract';
import { sleep } from '../http/sleep';
import type { EngineSettings } from './engineSettings';

export interface OrderProcessor {
  readonly state: () => EngineState;
  readonly fencing: () => number;
  readonly apply: (order: EngineOrder) => Promise<OrderResult>;
  readonly markLeaving: () => void;
}

/**
 * Creates a processor with the state in the settings.
 *
 * @param settings the engine's settings
 * @param onLoad called after other layers or another model are loaded
 */
export function createOrderProcessor(settings: EngineSettings, onLoad: () => void): OrderProcessor {
  let state = settings.state;
  let fencing = 0;
  const checkOrder = (order: EngineOrder): OrderResult | undefined => {
    const { from, to } = order.wanted.layers;
    if (order.expiresAtMs < Date.now()) return { type: 'expired' };
    if (settings.checksFencing && order.fencing < fencing) {
      return { type: 'fenced', highest: fencing };
    }
    if (from < 0 || to <= from || to - from > settings.maxLayers) {
      return { type: 'impossible', detail: `holds at most ${settings.maxLayers} layers` };
    }
    return undefined;
  };
  return {
    state: () => state,
    fencing: () => fencing,
    apply: async (order) => {
      const refusal = checkOrder(order);
      if (refusal !== undefined) return refusal;
      fencing = Math.max(fencing, order.fencing);
      if (needsReload(state, order.wanted)) {
        await sleep(settings.loadMs);
        onLoad();
      }
      const recheck = checkOrder(order);
      if (recheck?.type === 'fenced') return recheck;
      state = order.wanted;
      return { type: 'done', state };
    },
    markLeaving: () => {
      state = { ...state, leaving: true };
    },
  };
}

function needsReload(before: EngineState, wanted: EngineState): boolean {
  const isSameModel = before.model === wanted.model && before.modelVersion === wanted.modelVersion;
  const isSameRange =
    before.layers.from === wanted.layers.from && before.layers.to === wanted.layers.to;
  return !isSameModel || !isSameRange;
}
