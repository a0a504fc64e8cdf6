/** Answers what other VMs ask on the reliable channel. */

import type { Waiters } from '../adapters/exchange';
import type { PeerRequest, PeerReply } from '../adapters/peerMessage';
import type { Incarnation } from '../vms/vm';
import type { Send } from './untimedEvent';

export interface PeerAnswerOptions {
  /** This life of the VM; a call meant for another one is not taken. */
  readonly incarnation: Incarnation;
  readonly send: Send;
  readonly waiting: Waiters;
  readonly createId: () => string;
}

/**
 * Builds the function that answers asks.
 *
 * @param options this VM's incarnation, and its node
 */
export function answerPeer(options: PeerAnswerOptions): (ask: PeerRequest) => Promise<PeerReply> {
  const { incarnation, send, waiting, createId } = options;
  return async (ask) => {
    if (ask.type === 'message') {
      const { from, body } = ask;
      send({ side: 'fleet', event: { type: 'message-received', from, body } });
      return { type: 'taken' };
    }
    if (ask.incarnation !== incarnation) return { type: 'other-incarnation' };
    const call = { ...ask.call, call: createId(), forwardedBy: ask.from };
    const result = waiting.calls.wait(call.call);
    send({ side: 'operations', event: { type: 'call-received', call } });
    return { type: 'called', result: await result };
  };
}
