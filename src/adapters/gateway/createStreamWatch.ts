/** Looks after all running streams with one timer, and tells them of engines that are lost or leave. */

import type { ServerRegistry } from '../../gateway/createServerRegistry';
import type { StreamWatch, WatchedStream } from '../../gateway/streamWatch';

/** Time between two looks, milliseconds; a fraction of the pause that callers notice. */
const CHECK_INTERVAL_MS = 40;

/** Creates a watch over the servers of a board. */
export function createStreamWatch(board: ServerRegistry): StreamWatch {
  const streams = new Set<WatchedStream>();
  let timer: NodeJS.Timeout | undefined;
  const check = (): void => {
    for (const stream of [...streams]) stream.check();
  };
  board.onSuspected((id) => {
    for (const stream of [...streams]) stream.onServerSuspected(id);
  });
  board.onLeaving((id) => {
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
