/** Types of the demo's scenarios. */

import type { Caller } from './createCaller';
import type { Tally } from './createTally';
import type { DemoOperator } from './operator';
import type { WorkspaceName } from './site';
import type { DemoFleet } from './startFleet';
import type { Platform } from './startPlatform';

export interface ScenarioContext {
  readonly platform: Platform;
  readonly fleet: DemoFleet;
  readonly operator: DemoOperator;
  readonly tally: Tally;
  /** Number of truncated streams by the URL of the VM that served them. */
  readonly truncatedByUrl: ReadonlyMap<string, number>;
  readonly createCaller: (workspace: WorkspaceName) => Caller;
  /** Prints a line with the elapsed time. */
  readonly log: (line: string) => void;
}

/** Checks that failed in a scenario; empty if all passed. */
export type Findings = readonly string[];

export interface Scenario {
  readonly title: string;
  readonly run: (context: ScenarioContext) => Promise<Findings>;
}
