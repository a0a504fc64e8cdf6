/** Background traffic of both workspaces: drafts, writes that must not run twice, and lookups. */

import type { Caller } from './createCaller';
import { PLAIN_SERVICES } from './site';
import type { WorkspaceName } from './site';
import { sleep } from './sleep';

export interface Traffic {
  /** Sends no new requests and waits for running ones. */
  readonly stop: () => Promise<void>;
}

/** Number of callers of each kind in each workspace. */
const DRAFTERS = 3;
const WRITERS = 3;
const READERS = 1;

/** Pause between two requests of one caller, milliseconds. */
const PAUSE_MS = 60;

const DRAFT_TOKENS = 30;

/**
 * Starts the traffic.
 *
 * @param createCaller creates a caller of a workspace
 */
export function startTraffic(createCaller: (workspace: WorkspaceName) => Caller): Traffic {
  let isRunning = true;
  const repeat = async (send: (count: number) => Promise<void>): Promise<void> => {
    for (let count = 1; isRunning; count += 1) {
      await send(count);
      await sleep(PAUSE_MS);
    }
  };
  const startCallers = (
    count: number,
    start: (at: number) => Promise<void>,
  ): readonly Promise<void>[] => Array.from({ length: count }, (_, at) => start(at));
  const startWorkspace = (workspace: WorkspaceName): readonly Promise<void>[] => [
    ...startCallers(DRAFTERS, (at) => {
      const caller = createCaller(workspace);
      return repeat((count) => caller.draft(`${workspace} ${at} note ${count}`, DRAFT_TOKENS));
    }),
    ...startCallers(WRITERS, (at) => {
      const caller = createCaller(workspace);
      const { writes } = PLAIN_SERVICES[workspace];
      return repeat((count) => caller.write(writes[count % writes.length] ?? '', `${at}-${count}`));
    }),
    ...startCallers(READERS, (at) => {
      const caller = createCaller(workspace);
      return repeat((count) => caller.lookUp(`${at}-${count}`));
    }),
  ];
  const running = [...startWorkspace('kiambu'), ...startWorkspace('derwent')];
  return {
    stop: async () => {
      isRunning = false;
      await Promise.all(running);
    },
  };
}
