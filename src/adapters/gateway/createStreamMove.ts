/**
 * Moves a silent stream to another first engine. The run goes on until the other one speaks, since its engine
 * may go on first, and the other may turn the stream away.
 */

import type { GatewayHost, Job } from '../../gateway/job';
import type { StreamLimit } from './finishStream';

export interface MoveOptions {
  /** Whether the other run's chain may use the links between failure domains; true by default. */
  readonly mayCross?: boolean;
}

export interface StreamMove {
  /** Whether the first engine is suspected, has restarted or is not listed any more. */
  readonly isEntryDoubtful: () => boolean;
  /**
   * Starts another run if one can be prepared; without effect shortly after an earlier try.
   *
   * @returns whether another run was started, now or just before
   */
  readonly tryMove: (silentMs: number, options?: MoveOptions) => boolean;
}

export interface StreamMoveOptions {
  readonly job: Job;
  /** Id of the first engine. */
  readonly entry: string;
  /** Prepares another attempt; returns what rules it out, undefined if the stream may move. */
  readonly prepareMove: (mayCross: boolean) => StreamLimit | undefined;
  readonly onMove: () => void;
}

/** Time between two tries, since each searches for a chain. */
const MOVE_INTERVAL_MS = 200;

/** Creates the move of one attempt, whose first engine is the incarnation that is listed now. */
export function createStreamMove(host: GatewayHost, options: StreamMoveOptions): StreamMove {
  const { job, entry } = options;
  const { registry, now } = host;
  const { bornMs } = registry.find(entry) ?? {};
  let triedMs = Number.NEGATIVE_INFINITY;
  let hasMoved = false;
  let isKeptLogged = false;
  const isEntryDoubtful = (): boolean =>
    registry.isSuspected(entry) || registry.find(entry)?.bornMs !== bornMs;
  return {
    isEntryDoubtful,
    tryMove: (silentMs, { mayCross = true } = {}) => {
      if (now() - triedMs < MOVE_INTERVAL_MS) return hasMoved;
      triedMs = now();
      const limit = options.prepareMove(mayCross);
      hasMoved = limit === undefined;
      if (limit === undefined) {
        options.onMove();
        return true;
      }
      if (isKeptLogged) return false;
      isKeptLogged = true;
      host.log('silent stream kept', {
        id: job.head.id,
        entry,
        limit,
        silentMs: Math.round(silentMs),
        isDoubtful: isEntryDoubtful(),
      });
      return false;
    },
  };
}
