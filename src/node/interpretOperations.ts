/** Carries out the effects of operations: calls to plain services, and forwards to their home VM. */

import { FORWARD_TIMEOUT_MS } from '../adapters/constants';
import type { PeerResult } from '../adapters/createPeerClient';
import type { OperationEvent } from '../operations/operationMessage';
import type { VmId } from '../vms/vm';
import type { SideInterpreters } from './interpreters';
import type { Ports } from './ports';

export interface OperationInterpreterOptions {
  readonly vm: VmId;
  /** Told when all outcomes of a draining VM are in the table. */
  readonly onHandedOver: () => void;
}

type ForwardResult = Extract<OperationEvent, { readonly type: 'forwarded' }>['result'];

/**
 * Builds the table of handlers.
 *
 * @param ports what the shell reaches the world through
 * @param options this VM's id, and who is told of the hand-over
 */
export function interpretOperations(
  ports: Ports,
  options: OperationInterpreterOptions,
): SideInterpreters<'operations'> {
  const { callPlain, peers, waiting, send } = ports;
  return {
    'call-backend': (effect) => {
      const { dispatch } = effect;
      void callPlain(effect).then((result) => {
        if (result.type === 'answered') {
          const { answer, notRun } = result;
          send({
            side: 'operations',
            event: { type: 'backend-answered', dispatch, answer, notRun },
          });
        } else {
          const { failure, detail } = result;
          send({
            side: 'operations',
            event: { type: 'backend-failed', dispatch, failure, detail },
          });
        }
      });
    },
    forward: ({ vm, call }) => {
      const { incarnation } = vm;
      const ask = { type: 'forward', from: options.vm, incarnation, call } as const;
      void peers.ask(vm.peer, ask, FORWARD_TIMEOUT_MS).then((reply) => {
        const event = { type: 'forwarded', call: call.call, result: toResult(reply) } as const;
        send({ side: 'operations', event });
      });
    },
    answer: ({ call, result }) => {
      waiting.calls.resolve(call, result);
    },
    'grant-ticket': ({ call, ticket }) => {
      waiting.tickets.resolve(call, ticket);
    },
    'handed-over': options.onHandedOver,
  };
}

function toResult(reply: PeerResult): ForwardResult {
  if (reply.type === 'called') return reply.result;
  if (reply.type === 'other-incarnation' || reply.type === 'unreachable') {
    return { type: 'unreachable' };
  }
  return { type: 'lost' };
}
