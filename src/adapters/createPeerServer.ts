/** gRPC server for requests of other VMs. */

import { Server, ServerCredentials, status } from '@grpc/grpc-js';
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js';
import { decode, encode } from '@msgpack/msgpack';
import type { Address } from '../vms/vm';
import type { MessageAuthenticator } from './messageAuthenticator';
import { peerRequestSchema } from './peerMessage';
import type { PeerReply, PeerRequest } from './peerMessage';
import { peerService } from './peerService';

export interface PeerServerOptions {
  readonly listen: Address;
  readonly authenticator: MessageAuthenticator;
  readonly answer: (request: PeerRequest) => Promise<PeerReply>;
}

export interface PeerServer {
  readonly address: Address;
  /** Closes the server and all its connections immediately. */
  readonly close: () => void;
}

/**
 * Starts the server.
 *
 * @param options the address, the message authenticator and the request handler
 */
export async function createPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const { listen, authenticator, answer } = options;
  const server = new Server();
  const handleUnaryCall = (
    call: ServerUnaryCall<Buffer, Buffer>,
    callback: sendUnaryData<Buffer>,
  ): void => {
    const checked = decodeRequest(call.request, authenticator);
    if (checked === undefined) {
      callback({ code: status.UNAUTHENTICATED, details: 'no valid seal or no known ask' });
      return;
    }
    answer(checked).then(
      (reply) => {
        callback(null, Buffer.from(authenticator.sign(encode(reply, { ignoreUndefined: true }))));
      },
      (error: unknown) => {
        callback({ code: status.INTERNAL, details: String(error) });
      },
    );
  };
  server.addService(peerService, { ask: handleUnaryCall });
  const host = listen.host.includes(':') ? `[${listen.host}]` : listen.host;
  const port = await new Promise<number>((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync(`${host}:${listen.port}`, credentials, (error, boundPort) => {
      if (error === null) resolve(boundPort);
      else reject(error);
    });
  });
  return {
    address: { host: listen.host, port },
    close: () => {
      server.forceShutdown();
    },
  };
}

function decodeRequest(
  request: Buffer,
  authenticator: MessageAuthenticator,
): PeerRequest | undefined {
  const verified = authenticator.verify(request);
  if (verified === undefined) return undefined;
  try {
    return peerRequestSchema.safeParse(decode(verified)).data;
  } catch {
    return undefined;
  }
}
