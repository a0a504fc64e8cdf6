/** Carries out the effects that every side has: timers, counters, logs and the table. */

import type { SharedInterpreters } from './interpreters';
import type { SideName } from './nodeMessage';
import type { Ports } from './ports';
import type { UntimedEvent } from './untimedEvent';

/** Sides that ask the table; the router has no use for it. */
const isAsker = (side: SideName): side is Exclude<SideName, 'router'> => side !== 'router';

/**
 * Builds the table of handlers.
 *
 * @param ports what the shell reaches the world through
 */
export function interpretShared(ports: Ports): SharedInterpreters {
  const { timers, metrics, log, table, send } = ports;
  const answerAsker = (side: SideName, event: unknown): void => {
    if (isAsker(side)) send({ side, event } as UntimedEvent);
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
        answerAsker(side, { type: 'transacted', call, result });
      });
    },
    'read-rows': ({ call, table: name, keys }, side) => {
      void table.read(name, keys).then((result) => {
        answerAsker(side, { type: 'rows-read', call, result });
      });
    },
    'read-range': ({ call, range }, side) => {
      void table.range(range).then((result) => {
        answerAsker(side, { type: 'rows-read', call, result });
      });
    },
  };
}
