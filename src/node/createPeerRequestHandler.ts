/** Answers requests of other VMs on the reliable channel. */

import type { Waiters } from '../adapters/exchange';
import type { PeerRequest, PeerReply } from '../adapters/peerMessage';
import type { Incarnation } from '../vms/vm';
import type { Send } from './untimedEvent';

export interface PeerRequestHandlerOptions {
  /** This VM's incarnation; calls addressed to another one are rejected. */
  readonly incarnation: Incarnation;
  readonly send: Send;
  readonly waiting: Waiters;
  readonly createId: () => string;
}

/**
 * Creates the function that answers requests of other VMs.
 *
 * @param options this VM's incarnation and access to its node
 */
export function createPeerRequestHandler(
  options: PeerRequestHandlerOptions,
): (request: PeerRequest) => Promise<PeerReply> {
  const { incarnation, send, waiting, createId } = options;
  return async (request) => {
    if (request.type === 'message') {
      const { from, body } = request;
      send({ side: 'fleet', event: { type: 'message-received', from, body } });
      return { type: 'taken' };
    }
    if (request.incarnation !== incarnation) return { type: 'other-incarnation' };
    const call = { ...request.call, call: createId(), forwardedBy: request.from };
    const result = waiting.calls.wait(call.call);
    send({ side: 'operations', event: { type: 'call-received', call } });
    return { type: 'called', result: await result };
  };
}
