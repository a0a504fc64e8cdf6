/** Carries out effects of plans: orders to engines, reads of their state, and answers to operators. */

import type { ComponentEffectHandlers } from './effectHandlers';
import type { Ports } from './ports';

export interface PlanEffectHandlerOptions {
  /** Called when a confirmed plan retires this VM. */
  readonly onDrainRequested: () => void;
}

/**
 * Builds the table of handlers.
 *
 * @param ports the daemon's sockets, clients and timers
 * @param options the callback for the retirement of this VM
 */
export function createPlanEffectHandlers(
  ports: Ports,
  options: PlanEffectHandlerOptions,
): ComponentEffectHandlers<'plans'> {
  const { engines, waiting, send } = ports;
  return {
    answer: ({ call, status, body }) => {
      waiting.operators.resolve(call, { status, body });
    },
    'order-engine': ({ call, address, order }) => {
      void engines.order(address, order).then((result) => {
        send({ side: 'plans', event: { type: 'order-answered', call, result } });
      });
    },
    'drain-self': options.onDrainRequested,
    'read-engine': ({ call, address }) => {
      void engines.readState(address).then((result) => {
        send({ side: 'plans', event: { type: 'engine-read', call, result } });
      });
    },
  };
}
