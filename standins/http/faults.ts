/**
 * Fault injection for the platform stand-ins. `POST /faults` sets the fields in its body;
 * `GET /faults` reads all of them.
 */

import { sleep } from './sleep';
import type { Answer, Exchange, Handler } from './startServer';

export interface Faults {
  /** Delay before every call, milliseconds. */
  readonly delayMs: number;
  /** Refuses every call with 503; nothing takes effect. */
  readonly outage: boolean;
  /** Number of next calls that take effect but lose their reply. */
  readonly loseReplies: number;
}

/** No faults. */
export const NO_FAULTS: Faults = { delayMs: 0, outage: false, loseReplies: 0 };

/**
 * Wraps a handler with fault injection.
 *
 * @param handler the service without faults
 * @returns a handler that also answers `/faults`
 */
export function withFaults(handler: Handler): Handler {
  let faults = NO_FAULTS;
  const control = (exchange: Exchange): Answer => {
    if (exchange.method === 'POST') {
      faults = { ...faults, ...(JSON.parse(exchange.body.toString()) as Partial<Faults>) };
    }
    return { status: 200, body: faults };
  };
  return async (exchange) => {
    if (exchange.path === '/faults') return control(exchange);
    await sleep(faults.delayMs);
    if (faults.outage) return { status: 503, body: { error: 'outage' } };
    const answer = await handler(exchange);
    if (faults.loseReplies === 0) return answer;
    faults = { ...faults, loseReplies: faults.loseReplies - 1 };
    exchange.request.socket.destroy();
    return undefined;
  };
}
