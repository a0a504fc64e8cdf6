/** Orders that change an engine, with the fencing number and expiry that guard them. */

import type { EngineOrder, EngineState, OrderResult } from '../../src/contracts/engineContract';
import { sleep } from '../http/sleep';
import type { EngineSettings } from './engineSettings';

export interface OrderBook {
  readonly state: () => EngineState;
  readonly fencing: () => number;
  readonly take: (order: EngineOrder) => Promise<OrderResult>;
  readonly leave: () => void;
}

/**
 * Starts with the state of the settings.
 *
 * @param settings the engine's settings
 * @param onLoad called when other layers or another model are loaded
 */
export function createOrderBook(settings: EngineSettings, onLoad: () => void): OrderBook {
  let state = settings.state;
  let fencing = 0;
  const guard = (order: EngineOrder): OrderResult | undefined => {
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
    take: async (order) => {
      const refused = guard(order);
      if (refused !== undefined) return refused;
      fencing = Math.max(fencing, order.fencing);
      if (isOtherLoad(state, order.wanted)) {
        await sleep(settings.loadMs);
        onLoad();
      }
      const later = guard(order);
      if (later?.type === 'fenced') return later;
      state = order.wanted;
      return { type: 'done', state };
    },
    leave: () => {
      state = { ...state, leaving: true };
    },
  };
}

function isOtherLoad(before: EngineState, wanted: EngineState): boolean {
  const isSameModel = before.model === wanted.model && before.modelVersion === wanted.modelVersion;
  const isSameRange =
    before.layers.from === wanted.layers.from && before.layers.to === wanted.layers.to;
  return !isSameModel || !isSameRange;
}
