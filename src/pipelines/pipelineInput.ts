/** Input for planning the pipeline of one model. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { AcceleratorKind, AcceleratorKindId, Engine, Model } from '../engines/engine';
import type { FailureDomainId } from '../failureDomains/failureDomain';
import type { Link } from '../links/link';
import type { Workload } from './workload';

export interface PipelineInput {
  readonly model: Model;
  /** Engines of the model that may receive new work. */
  readonly engines: readonly Engine[];
  readonly acceleratorKinds: ReadonlyMap<AcceleratorKindId, AcceleratorKind>;
  readonly failureDomainOf: (engine: BackendServerId) => FailureDomainId;
  /** Fraction of its usual load that an engine may receive, 0 to 1. */
  readonly weightOf: (engine: BackendServerId) => number;
  /** Links between failure domains, with the bandwidth that this model may use. */
  readonly links: readonly Link[];
  readonly workload: Workload;
}
