/** Handles SIGTERM and SIGINT for a daemon. */

import { EXIT_INTERRUPTED } from '../node/constants';
import type { Daemon } from '../node/startDaemon';

/**
 * Creates a handler. The first signal drains and stops the daemon, then exits with 0. A second signal
 * prints how much work it interrupts and exits at once.
 *
 * @param daemon the daemon to drain and stop
 * @param exit ends the process
 */
export function createSignalHandler(
  daemon: Pick<Daemon, 'countWork' | 'drain' | 'stop'>,
  exit: (code: number) => void,
): () => void {
  let isDraining = false;
  const drain = async (): Promise<void> => {
    await daemon.drain();
    await daemon.stop();
    exit(0);
  };
  return () => {
    if (isDraining) {
      console.error(`cutting ${daemon.countWork()} requests and calls in progress`);
      exit(EXIT_INTERRUPTED);
      return;
    }
    isDraining = true;
    void drain();
  };
}
