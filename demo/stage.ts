/** Everything that the acts of the demo play with. */

import type { Caller } from './createCaller';
import type { Tally } from './createTally';
import type { DemoOperator } from './operator';
import type { WorkspaceName } from './site';
import type { DemoFleet } from './startFleet';
import type { Platform } from './startPlatform';

export interface Stage {
  readonly platform: Platform;
  readonly fleet: DemoFleet;
  readonly operator: DemoOperator;
  readonly tally: Tally;
  /** Streams that were cut, by the URL of the VM that served them. */
  readonly cutsAt: ReadonlyMap<string, number>;
  readonly createCaller: (workspace: WorkspaceName) => Caller;
  /** Adds a line to the account. */
  readonly say: (line: string) => void;
}

/** What an act found not to hold; empty where all held. */
export type Findings = readonly string[];

export interface Act {
  readonly title: string;
  readonly play: (stage: Stage) => Promise<Findings>;
}
