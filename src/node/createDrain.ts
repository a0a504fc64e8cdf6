/**
 * The drain of a VM as its shell drives it. The VM takes work until the address answers that name it
 * have lapsed; then it refuses, hands the outcomes of its operations over, and ends when nothing is
 * left.
 */

import { WORK_COUNT_MS } from './constants';
import { countWork } from './countWork';
import type { RouterNode } from './createNode';
import type { Ports } from './ports';

export interface Drain {
  /** Starts it, once; resolves when nothing is left. */
  readonly start: () => Promise<void>;
  /** The fleet side's word that it is over. */
  readonly finish: () => void;
  /** Stops counting, where the VM ends without waiting. */
  readonly stop: () => void;
}

/**
 * Creates a drain that has not started.
 *
 * @param ports what the shell reaches the world through
 * @param state the node's state
 */
export function createDrain({ send, log, waiting }: Ports, state: () => RouterNode): Drain {
  let counter: NodeJS.Timeout | undefined;
  let finish: () => void = () => undefined;
  const finished = new Promise<void>((resolve) => {
    finish = resolve;
  });
  const count = (): void => {
    const toHandOver = state().operations.isHandedOver ? 0 : 1;
    const running = countWork(waiting, state()) + toHandOver;
    send({ side: 'fleet', event: { type: 'work-counted', running } });
  };
  return {
    finish: () => {
      finish();
    },
    stop: () => {
      clearInterval(counter);
    },
    start: () => {
      if (counter !== undefined) return finished;
      log.write('info', 'drain started', { running: countWork(waiting, state()) });
      send(
        { side: 'fleet', event: { type: 'drain-started' } },
        { side: 'operations', event: { type: 'drain-started' } },
      );
      counter = setInterval(count, WORK_COUNT_MS);
      return finished;
    },
  };
}
