/** Carries out the effects of plans: orders to engines, reads of their state, operators' answers. */

import type { SideInterpreters } from './interpreters';
import type { Ports } from './ports';

export interface PlanInterpreterOptions {
  /** Told where a confirmed plan makes this VM leave. */
  readonly onDrainAsked: () => void;
}

/**
 * Builds the table of handlers.
 *
 * @param ports what the shell reaches the world through
 * @param options who is told that this VM has to leave
 */
export function interpretPlans(
  ports: Ports,
  options: PlanInterpreterOptions,
): SideInterpreters<'plans'> {
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
    'drain-self': options.onDrainAsked,
    'read-engine': ({ call, address }) => {
      void engines.readState(address).then((result) => {
        send({ side: 'plans', event: { type: 'engine-read', call, result } });
      });
    },
  };
}
