/**
 * Derives from the size of a VM what callers may take of it together. The shares leave the rest to the runtime, to
 * connections to backend servers, which each request needs as well, to other VMs and to the store.
 */

export interface VmSize {
  /** Memory that the process may use, MB; undefined if the settings do not state it. */
  readonly memoryMb?: number | undefined;
  /** Descriptors that the process may open; undefined if the settings do not state it. */
  readonly maxDescriptors?: number | undefined;
}

export interface IntakeLimits {
  /** Memory for the bodies of all requests, bytes. */
  readonly bodyBytes: number;
  /** Open connections of callers. */
  readonly connections: number;
  /** Requests without an answer on one connection. */
  readonly pipelinedRequests: number;
  /** Open connections of other VMs. */
  readonly peerConnections: number;
  /** Open connections to each of the listeners for readiness, addresses and metrics. */
  readonly auxiliaryConnections: number;
  /** Bodies in tiny pieces that are received at the same time. */
  readonly costlyBodies: number;
}

const BYTES_PER_MB = 1024 * 1024;

/** Assumed without settings; a VM of the smallest size in use has less, so settings should state both. */
const DEFAULT_MEMORY_MB = 400;
const DEFAULT_MAX_DESCRIPTORS = 10_240;

/** Copies of a body, while it is joined and sent, take as much again. */
const BODY_MEMORY_SHARE = 0.08;

/** Lets a body of 4 MB be joined while others come. */
const MIN_BODY_BYTES = 12 * BYTES_PER_MB;

/** Each request has one connection of its caller and one to a server. */
const CONNECTION_SHARE = 0.4;

/** Memory of a connection with its buffers, and the share of the memory for all of them. */
const CONNECTION_BYTES = 32 * 1024;
const CONNECTION_MEMORY_SHARE = 0.25;

const PEER_SHARE = 0.5;
const AUXILIARY_SHARE = 0.125;

const COSTLY_BODIES = 8;

/** Callers send one request at a time on a connection; libraries that pipeline send a few. */
const PIPELINED_REQUESTS = 64;

export function computeIntakeLimits({
  memoryMb = DEFAULT_MEMORY_MB,
  maxDescriptors = DEFAULT_MAX_DESCRIPTORS,
}: VmSize): IntakeLimits {
  const memoryBytes = memoryMb * BYTES_PER_MB;
  const connections = Math.floor(
    Math.min(
      maxDescriptors * CONNECTION_SHARE,
      (memoryBytes * CONNECTION_MEMORY_SHARE) / CONNECTION_BYTES,
    ),
  );
  return {
    bodyBytes: Math.max(MIN_BODY_BYTES, Math.floor(memoryBytes * BODY_MEMORY_SHARE)),
    connections,
    pipelinedRequests: PIPELINED_REQUESTS,
    peerConnections: Math.floor(connections * PEER_SHARE),
    auxiliaryConnections: Math.floor(connections * AUXILIARY_SHARE),
    costlyBodies: COSTLY_BODIES,
  };
}
