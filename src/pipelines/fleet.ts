/** What the planning of one model's routes reads. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { AcceleratorKind, AcceleratorKindId, Engine, Model } from '../engines/engine';
import type { FailureDomainId } from '../failureDomains/failureDomain';
import type { Link } from '../links/link';
import type { Workload } from './workload';

export interface Fleet {
  readonly model: Model;
  /** Engines of the model that may get new work. */
  readonly engines: readonly Engine[];
  readonly acceleratorKinds: ReadonlyMap<AcceleratorKindId, AcceleratorKind>;
  readonly failureDomainOf: (engine: BackendServerId) => FailureDomainId;
  /** Share of its usual load that an engine may get, 0 to 1. */
  readonly weightOf: (engine: BackendServerId) => number;
  /** Links between failure domains, with the bandwidth that this model may use. */
  readonly links: readonly Link[];
  readonly workload: Workload;
}
