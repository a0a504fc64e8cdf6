/**
 * Engines that are alike for planning: same failure domain, accelerators, network interface, layers
 * and weight. Planning by class keeps the linear program small at hundreds of engines.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { LayerRange } from '../engines/engine';
import type { FailureDomainId } from '../failureDomains/failureDomain';

export interface EngineClass {
  readonly engines: readonly BackendServerId[];
  readonly failureDomain: FailureDomainId;
  readonly layers: LayerRange;
  /** Engine time that one answer token costs in one layer, its share of the prompt included. */
  readonly microsPerTokenLayer: number;
  /** Engines in the class, each by its weight. */
  readonly size: number;
  /** Bandwidth of the network interfaces of the class, bytes a second. */
  readonly uplinkBytesPerSecond: number;
  /** KV cache that the class can hold, bytes. */
  readonly kvBytes: number;
}
