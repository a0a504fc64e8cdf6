/** Carries out the router's effects: streams at engines and answers to callers. */

import type { RequestId } from '../requests/request';
import type { AttemptNumber } from '../requests/tokenFrame';
import type { SideInterpreters } from './interpreters';
import type { Ports } from './ports';

/**
 * Builds the table of handlers.
 *
 * @param ports what the shell reaches the world through
 */
export function interpretRouter(ports: Ports): SideInterpreters<'router'> {
  const { engines, waiting, send } = ports;
  const open = new Map<string, () => void>();
  const keyOf = (request: RequestId, attempt: AttemptNumber): string => `${request}/${attempt}`;
  return {
    'open-stream': ({ order }) => {
      const { request, attempt } = order;
      const key = keyOf(request, attempt);
      const drop = engines.openStream(order, {
        onMessages: (messages) => {
          const toEvent = (message: (typeof messages)[number]) =>
            ({
              side: 'router',
              event: { type: 'stream-message', request, attempt, message },
            }) as const;
          send(...messages.map(toEvent));
        },
        onClosed: ({ cause, detail }) => {
          open.delete(key);
          send({
            side: 'router',
            event: { type: 'stream-closed', request, attempt, cause, detail },
          });
        },
      });
      open.set(key, drop);
    },
    'cancel-stream': ({ request, attempt, route }) => {
      const key = keyOf(request, attempt);
      open.get(key)?.();
      open.delete(key);
      void engines.cancelStream(request, attempt, route);
    },
    'find-kv': ({ request, attempt, stages }) => {
      void engines.findKv(request, stages).then((exports) => {
        send({ side: 'router', event: { type: 'kv-found', request, attempt, exports } });
      });
    },
    deliver: ({ request, frame }) => {
      waiting.streams.get(request)?.deliver(frame);
    },
    finish: ({ request, finish }) => {
      const stream = waiting.streams.get(request);
      waiting.streams.delete(request);
      stream?.finish(finish);
    },
    refuse: ({ request, refusal }) => {
      const stream = waiting.streams.get(request);
      waiting.streams.delete(request);
      stream?.refuse(refusal);
    },
  };
}
