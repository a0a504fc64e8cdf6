/**
 * Engines of one failure domain that hold the same layers. Their rates add up, whatever their
 * accelerator kinds. Planning by class keeps the linear program small with hundreds of engines.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { LayerRange } from '../engines/engine';
import type { FailureDomainId } from '../failureDomains/failureDomain';

/** One engine of a class. */
export interface ClassMember {
  readonly engine: BackendServerId;
  /** Rate in tokens times layers a second, including each token's share of the prompt. */
  readonly tokenLayersPerSecond: number;
}

export interface EngineClass {
  readonly members: readonly ClassMember[];
  readonly failureDomain: FailureDomainId;
  readonly layers: LayerRange;
  /** Sum of the members' rates. */
  readonly tokenLayersPerSecond: number;
  /** Total bandwidth of the members' network interfaces, bytes a second. */
  readonly uplinkBytesPerSecond: number;
  /** Total KV cache capacity of the members, bytes. */
  readonly kvBytes: number;
}
