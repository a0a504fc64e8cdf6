/** The gRPC service between VMs: one unary method with authenticated msgpack bytes, so no generated code. */

import type { MethodDefinition } from '@grpc/grpc-js';

const identity = (bytes: Buffer): Buffer => bytes;

/** The unary method `/citronpass.Peer/Ask`. */
export const askMethod: MethodDefinition<Buffer, Buffer> = {
  path: '/citronpass.Peer/Ask',
  requestStream: false,
  responseStream: false,
  requestSerialize: identity,
  requestDeserialize: identity,
  responseSerialize: identity,
  responseDeserialize: identity,
};

/** Service definition that the server registers. */
export const peerService = { ask: askMethod };
