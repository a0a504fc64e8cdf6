/** Steady traffic of both workspaces: drafts, writes that must not repeat, and lookups. */

import type { Caller } from './createCaller';
import { PLAIN_SERVICES } from './site';
import type { WorkspaceName } from './site';
import { sleep } from './sleep';

export interface Traffic {
  /** Asks for nothing new, and waits for what runs. */
  readonly stop: () => Promise<void>;
}

/** Callers of each sort in each workspace. */
const DRAFTERS = 3;
const WRITERS = 3;
const READERS = 1;

/** Pause between two requests of one caller, milliseconds. */
const PAUSE_MS = 60;

const DRAFT_TOKENS = 30;

/**
 * Starts the traffic.
 *
 * @param createCallerOf gives a fresh caller of a workspace
 */
export function startTraffic(createCallerOf: (workspace: WorkspaceName) => Caller): Traffic {
  let isOn = true;
  const repeat = async (ask: (count: number) => Promise<void>): Promise<void> => {
    for (let count = 1; isOn; count += 1) {
      await ask(count);
      await sleep(PAUSE_MS);
    }
  };
  const times = (count: number, start: (at: number) => Promise<void>): readonly Promise<void>[] =>
    Array.from({ length: count }, (_, at) => start(at));
  const startWorkspace = (workspace: WorkspaceName): readonly Promise<void>[] => [
    ...times(DRAFTERS, (at) => {
      const caller = createCallerOf(workspace);
      return repeat((count) => caller.draft(`${workspace} ${at} note ${count}`, DRAFT_TOKENS));
    }),
    ...times(WRITERS, (at) => {
      const caller = createCallerOf(workspace);
      const { writes } = PLAIN_SERVICES[workspace];
      return repeat((count) => caller.write(writes[count % writes.length] ?? '', `${at}-${count}`));
    }),
    ...times(READERS, (at) => {
      const caller = createCallerOf(workspace);
      return repeat((count) => caller.lookUp(`${at}-${count}`));
    }),
  ];
  const running = [...startWorkspace('kiambu'), ...startWorkspace('derwent')];
  return {
    stop: async () => {
      isOn = false;
      await Promise.all(running);
    },
  };
}
