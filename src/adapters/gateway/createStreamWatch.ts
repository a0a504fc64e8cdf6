/** Checks all running streams with one timer, and notifies them of engines that are suspected or leaving. */

import type { ServerRegistry } from '../../gateway/serverRegistry';
import type { StreamWatch, WatchedStream } from '../../gateway/streamWatch';

/** Interval between checks; a fraction of the pause that callers notice. */
const CHECK_INTERVAL_MS = 40;

/**
 * Creates a watch that subscribes to the changes of the server registry.
 *
 * @param isLate whether events may have waited in this process, so that no stream counts as silent
 */
export function createStreamWatch(
  registry: Pick<ServerRegistry, 'onSuspected' | 'onLeaving'>,
  isLate: () => boolean = () => false,
): StreamWatch {
  const streams = new Set<WatchedStream>();
  let timer: NodeJS.Timeout | undefined;
  const check = (): void => {
    if (isLate()) return;
    for (const stream of [...streams]) stream.check();
  };
  registry.onSuspected((id) => {
    for (const stream of [...streams]) stream.onServerSuspected(id);
  });
  registry.onLeaving((id) => {
    for (const stream of [...streams]) stream.onServerLeaving(id);
  });
  return {
    add: (stream) => {
      streams.add(stream);
      timer ??= setInterval(check, CHECK_INTERVAL_MS);
    },
    remove: (stream) => {
      streams.delete(stream);
      if (streams.size > 0) return;
      clearInterval(timer);
      timer = undefined;
    },
  };
}
