/** Bounds what callers may take of a VM, by its size. */

import type { BodyIntake } from '../adapters/intake/createBodyIntake';
import { createBodyIntake } from '../adapters/intake/createBodyIntake';
import { computeIntakeLimits } from '../intake/computeIntakeLimits';
import type { GatewayMetrics } from './createGatewayMetrics';
import type { GatewaySettings } from './gatewaySettings';

export interface IntakeOptions {
  readonly vm: GatewaySettings['vm'];
  readonly metrics: GatewayMetrics;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

export interface Intake {
  readonly bodies: BodyIntake;
}

export function openIntake({ vm, metrics, now }: IntakeOptions): Intake {
  const limits = computeIntakeLimits({
    memoryMb: vm.memory_mb,
    maxDescriptors: vm.max_descriptors,
  });
  const bodies = createBodyIntake({ ...limits, now });
  metrics.gauge('body_memory_bytes', 'Memory that request bodies hold.', bodies.heldBytes);
  metrics.gauge('incomplete_bodies', 'Request bodies that are being received.', bodies.incomplete);
  return { bodies };
}
