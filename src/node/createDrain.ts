/**
 * Drains a VM. The VM accepts work until the address answers that name it have expired. It then refuses
 * new work, hands over the outcomes of its operations, and stops when no work is left.
 */

import { WORK_COUNT_INTERVAL_MS } from './constants';
import { countWork } from './countWork';
import type { NodeState } from './createNodeState';
import type { Ports } from './ports';

export interface Drain {
  /** Starts the drain unless it has started; resolves when no work is left. */
  readonly start: () => Promise<void>;
  /** Resolves the drain; called when the fleet component reports that it has finished. */
  readonly finish: () => void;
  /** Stops counting work; for a VM that stops without waiting for the drain. */
  readonly stop: () => void;
}

/**
 * Creates a drain that has not started.
 *
 * @param ports the daemon's sockets, clients and timers
 * @param state reads the node's state
 */
export function createDrain({ send, log, waiting }: Ports, state: () => NodeState): Drain {
  let countTimer: NodeJS.Timeout | undefined;
  let resolveFinished: () => void = () => undefined;
  const finished = new Promise<void>((resolve) => {
    resolveFinished = resolve;
  });
  const reportRunningWork = (): void => {
    const pendingHandOver = state().operations.isHandedOver ? 0 : 1;
    const running = countWork(waiting, state()) + pendingHandOver;
    send({ side: 'fleet', event: { type: 'work-counted', running } });
  };
  return {
    finish: () => {
      resolveFinished();
    },
    stop: () => {
      clearInterval(countTimer);
    },
    start: () => {
      if (countTimer !== undefined) return finished;
      log.write('info', 'drain started', { running: countWork(waiting, state()) });
      send(
        { side: 'fleet', event: { type: 'drain-started' } },
        { side: 'operations', event: { type: 'drain-started' } },
      );
      countTimer = setInterval(reportRunningWork, WORK_COUNT_INTERVAL_MS);
      return finished;
    },
  };
}
