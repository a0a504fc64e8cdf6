/** What a daemon does on SIGTERM and SIGINT. */

import { EXIT_INTERRUPTED } from '../node/constants';
import type { Daemon } from '../node/startDaemon';

/**
 * The first signal drains, then stops and exits with 0. A second one says what it cuts, and exits.
 *
 * @param daemon what is drained
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
