/** Carries out the router's effects: streams at engines and answers to callers. */

import type { StreamOrder } from '../contracts/engineContract';
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
  const { engines, waiting, journal, send } = ports;
  const open = new Map<string, () => void>();
  const keyOf = (request: RequestId, attempt: AttemptNumber): string => `${request}/${attempt}`;
  return {
    'open-stream': ({ order }) => {
      const { request, attempt } = order;
      const key = keyOf(request, attempt);
      journal.add(request, describeOrder(order));
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
          journal.add(request, `stream of attempt ${attempt} closed: ${cause} ${detail}`.trim());
          send({
            side: 'router',
            event: { type: 'stream-closed', request, attempt, cause, detail },
          });
        },
      });
      open.set(key, drop);
    },
    'cancel-stream': ({ request, attempt, route }) => {
      journal.add(request, `cancelled attempt ${attempt}`);
      const key = keyOf(request, attempt);
      open.get(key)?.();
      open.delete(key);
      void engines.cancelStream(request, attempt, route);
    },
    'find-kv': ({ request, attempt, stages }) => {
      void engines.findKvExports(request, stages).then(({ exports, answered }) => {
        journal.add(request, `found ${exports.length} KV exports for attempt ${attempt}`);
        send({ side: 'router', event: { type: 'kv-found', request, attempt, exports, answered } });
      });
    },
    deliver: ({ request, frame }) => {
      waiting.streams.get(request)?.deliver(frame);
    },
    finish: ({ request, finish, attempts }) => {
      journal.add(request, `answered whole (${finish}) in ${attempts} attempts`);
      const stream = waiting.streams.get(request);
      waiting.streams.delete(request);
      stream?.finish(finish);
    },
    refuse: ({ request, refusal }) => {
      const { outcome, reason, detail } = refusal;
      journal.add(request, `refused as ${outcome}, ${reason}: ${detail}`);
      const stream = waiting.streams.get(request);
      waiting.streams.delete(request);
      stream?.refuse(refusal);
    },
  };
}

function describeOrder({ attempt, route, delivered }: StreamOrder): string {
  const stages = route.map(({ engine, layers, kvImport }) => {
    const source = kvImport === undefined ? '' : ` with KV of ${kvImport.engine}`;
    return `${engine} ${layers.from}-${layers.to - 1}${source}`;
  });
  return `attempt ${attempt} after ${delivered.length} tokens through ${stages.join(', ')}`;
}
