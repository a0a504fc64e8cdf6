/**
 * Engines of one failure domain that hold the same layers. Their time adds up, whatever their kinds,
 * so that planning by class keeps the linear program small at hundreds of engines.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { LayerRange } from '../engines/engine';
import type { FailureDomainId } from '../failureDomains/failureDomain';

/** One engine of a class. */
export interface ClassMember {
  readonly engine: BackendServerId;
  /** Layers of tokens that it runs in a second, each token's share of the prompt included. */
  readonly tokenLayersPerSecond: number;
}

export interface EngineClass {
  readonly members: readonly ClassMember[];
  readonly failureDomain: FailureDomainId;
  readonly layers: LayerRange;
  /** Sum of the members' rates. */
  readonly tokenLayersPerSecond: number;
  /** Bandwidth of the network interfaces of the class, bytes a second. */
  readonly uplinkBytesPerSecond: number;
  /** KV cache that the class can hold, bytes. */
  readonly kvBytes: number;
}
