/**
 * Ends the request or call whose decision threw: its caller is not left waiting, and the router drops
 * what runs for it.
 */

import type { Waiters } from '../adapters/exchange';
import type { Refusal } from '../outcomes/outcome';
import type { NodeEvent } from './nodeMessage';
import type { Send } from './untimedEvent';

const FAILED: Refusal = {
  outcome: 'failed',
  reason: 'invariant-violated',
  detail: 'the router met a state that must not be and gave the request up',
};

const UNKNOWN: Refusal = { ...FAILED, outcome: 'unknown' };

/**
 * Refuses whoever waits for the outcome of an event.
 *
 * @param cause the event whose decision threw
 * @param waiting those who wait
 * @param send hands events to the node
 */
export function refuseFaulty({ event }: NodeEvent, waiting: Waiters, send: Send): void {
  if (event.type === 'request-received') refuseStream(event.request.id, waiting, send);
  if (event.type === 'stream-message' || event.type === 'stream-closed') {
    refuseStream(event.request, waiting, send);
  }
  if (event.type === 'call-received') {
    waiting.calls.resolve(event.call.call, { type: 'refused', refusal: UNKNOWN });
  }
  if (event.type === 'operation-asked') {
    waiting.calls.resolve(event.call, { type: 'refused', refusal: UNKNOWN });
  }
  if (event.type === 'operator-asked') {
    waiting.operators.resolve(event.call, { status: 500, body: FAILED });
  }
}

function refuseStream(request: string, waiting: Waiters, send: Send): void {
  const stream = waiting.streams.get(request);
  waiting.streams.delete(request);
  stream?.refuse(FAILED);
  send({ side: 'router', event: { type: 'caller-left', request } });
}
