/**
 * Faults that a platform stand-in can be told to show. `POST /faults` with any of the fields sets
 * them; `GET /faults` reads them.
 */

import { sleep } from './sleep';
import type { Answer, Exchange, Handler } from './startServer';

export interface Faults {
  /** Added to every answer, milliseconds. */
  readonly delayMs: number;
  /** Refuses every call with 503; nothing takes effect. */
  readonly outage: boolean;
  /** How many of the next calls take effect but lose their reply. */
  readonly loseReplies: number;
}

/** No faults. */
export const NO_FAULTS: Faults = { delayMs: 0, outage: false, loseReplies: 0 };

/**
 * Puts faults before and after a handler.
 *
 * @param handler what the service does without faults
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
