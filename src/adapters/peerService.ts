/** The gRPC service between VMs: one unary method over sealed msgpack bytes, so no generator. */

import type { MethodDefinition } from '@grpc/grpc-js';

const identity = (bytes: Buffer): Buffer => bytes;

/** `/citronpass.Peer/Ask`. */
export const askMethod: MethodDefinition<Buffer, Buffer> = {
  path: '/citronpass.Peer/Ask',
  requestStream: false,
  responseStream: false,
  requestSerialize: identity,
  requestDeserialize: identity,
  responseSerialize: identity,
  responseDeserialize: identity,
};

/** The service as the server registers it. */
export const peerService = { ask: askMethod };
