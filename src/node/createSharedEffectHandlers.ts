/** Carries out the effects that all components share: timers, counters, logs and the table. */

import type { SharedEffectHandlers } from './effectHandlers';
import type { ComponentName } from './nodeMessage';
import type { Ports } from './ports';
import type { UntimedEvent } from './untimedEvent';

/** Whether the component accesses the table; the router does not. */
const usesTable = (side: ComponentName): side is Exclude<ComponentName, 'router'> =>
  side !== 'router';

/**
 * Builds the table of handlers.
 *
 * @param ports the daemon's sockets, clients and timers
 */
export function createSharedEffectHandlers(ports: Ports): SharedEffectHandlers {
  const { timers, metrics, log, table, send } = ports;
  const sendTableResult = (side: ComponentName, event: unknown): void => {
    if (usesTable(side)) send({ side, event } as UntimedEvent);
  };
  return {
    'set-timer': ({ timer, afterMs }, side) => {
      timers.set(side, timer, afterMs);
    },
    'clear-timer': ({ timer }, side) => {
      timers.clear(side, timer);
    },
    count: ({ counter, by, labels }) => {
      metrics.count(counter, by, labels);
    },
    log: ({ level, message, fields }, side) => {
      log.write(level, message, { ...fields, side });
    },
    transact: ({ call, transaction }, side) => {
      void table.transact(transaction).then((result) => {
        metrics.count('table_transactions', 1, { result: result.type });
        sendTableResult(side, { type: 'transacted', call, result });
      });
    },
    'read-rows': ({ call, table: name, keys }, side) => {
      void table.read(name, keys).then((result) => {
        sendTableResult(side, { type: 'rows-read', call, result });
      });
    },
    'read-range': ({ call, range }, side) => {
      void table.range(range).then((result) => {
        sendTableResult(side, { type: 'rows-read', call, result });
      });
    },
  };
}
