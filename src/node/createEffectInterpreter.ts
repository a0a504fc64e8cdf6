/** Calls the handler of each effect that the combined reducer returns. */

import type { SharedEffectHandlers, ComponentEffectHandlers } from './effectHandlers';
import type { NodeEffect, ComponentName } from './nodeMessage';

export interface EffectHandlerTables {
  readonly shared: SharedEffectHandlers;
  readonly components: {
    readonly [Component in ComponentName]: ComponentEffectHandlers<Component>;
  };
}

type Handler = (effect: NodeEffect['effect'], side: ComponentName) => void;

/**
 * Combines the tables of handlers. The returned function throws for an effect without a handler.
 *
 * @param handlers the handlers of each component and the shared ones
 */
export function createEffectInterpreter(handlers: EffectHandlerTables): (item: NodeEffect) => void {
  const sharedHandlers = handlers.shared as Readonly<Record<string, unknown>>;
  const componentHandlers = handlers.components as Readonly<
    Record<ComponentName, Readonly<Record<string, unknown>>>
  >;
  return ({ side, effect }) => {
    const handler = sharedHandlers[effect.type] ?? componentHandlers[side][effect.type];
    if (handler === undefined) throw new TypeError(`No handler for ${side} ${effect.type}`);
    (handler as Handler)(effect, side);
  };
}
