/**
 * Refuses the request or call for which the reducer threw. Its caller does not wait any longer, and the
 * router stops its work for the request.
 */

import type { Waiters } from '../adapters/exchange';
import type { Refusal } from '../outcomes/outcome';
import type { NodeEvent } from './nodeMessage';
import type { Send } from './untimedEvent';

const FAILED_REFUSAL: Refusal = {
  outcome: 'failed',
  reason: 'invariant-violated',
  detail: 'the router met a state that must not be and gave the request up',
};

const UNKNOWN_REFUSAL: Refusal = { ...FAILED_REFUSAL, outcome: 'unknown' };

/**
 * Refuses the caller that waits for the outcome of an event.
 *
 * @param cause the event on which the reducer threw
 * @param waiting the callers that wait for a result
 * @param send sends events to the node
 */
export function refuseFailedEvent({ event }: NodeEvent, waiting: Waiters, send: Send): void {
  if (event.type === 'request-received') refuseStream(event.request.id, waiting, send);
  if (event.type === 'stream-message' || event.type === 'stream-closed') {
    refuseStream(event.request, waiting, send);
  }
  if (event.type === 'call-received') {
    waiting.calls.resolve(event.call.call, { type: 'refused', refusal: UNKNOWN_REFUSAL });
  }
  if (event.type === 'operation-asked') {
    waiting.calls.resolve(event.call, { type: 'refused', refusal: UNKNOWN_REFUSAL });
  }
  if (event.type === 'operator-asked') {
    waiting.operators.resolve(event.call, { status: 500, body: FAILED_REFUSAL });
  }
}

function refuseStream(request: string, waiting: Waiters, send: Send): void {
  const stream = waiting.streams.get(request);
  waiting.streams.delete(request);
  stream?.refuse(FAILED_REFUSAL);
  send({ side: 'router', event: { type: 'caller-left', request } });
}
