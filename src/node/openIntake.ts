/** Bounds what callers and other VMs may take of a VM, by its size. */

import type { Server } from 'node:http';
import type { BodyIntake } from '../adapters/intake/createBodyIntake';
import { createBodyIntake } from '../adapters/intake/createBodyIntake';
import { limitConnections } from '../adapters/intake/limitConnections';
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
  /** Bounds the connections of servers that have accepted none yet. */
  readonly limitServers: (servers: IntakeServers) => void;
}

export interface IntakeServers {
  readonly callers: Server;
  readonly peers: Server;
  /** Listeners for readiness, addresses and metrics. */
  readonly auxiliary: readonly Server[];
}

export function openIntake({ vm, metrics, now }: IntakeOptions): Intake {
  const limits = computeIntakeLimits({
    memoryMb: vm.memory_mb,
    maxDescriptors: vm.max_descriptors,
  });
  const bodies = createBodyIntake({ ...limits, now });
  metrics.gauge('body_memory_bytes', 'Memory that request bodies hold.', bodies.heldBytes);
  metrics.gauge('incomplete_bodies', 'Request bodies that are being received.', bodies.incomplete);
  const limit = (server: Server, listener: string, maxConnections: number): void => {
    const onClosed = (): void => {
      metrics.count('closed_connections', listener);
    };
    limitConnections(server, {
      maxConnections,
      maxPipelined: limits.pipelinedRequests,
      now,
      onClosed,
    });
  };
  return {
    bodies,
    limitServers: ({ callers, peers, auxiliary }) => {
      limit(callers, 'callers', limits.connections);
      limit(peers, 'peers', limits.peerConnections);
      for (const server of auxiliary) limit(server, 'auxiliary', limits.auxiliaryConnections);
    },
  };
}
