/** Takes the asks of other VMs over gRPC. */

import { Server, ServerCredentials, status } from '@grpc/grpc-js';
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js';
import { decode, encode } from '@msgpack/msgpack';
import type { Address } from '../vms/vm';
import { peerAskSchema } from './peerMessage';
import type { PeerAsk, PeerReply } from './peerMessage';
import { peerService } from './peerService';
import type { Seal } from './seal';

export interface PeerServerOptions {
  readonly listen: Address;
  readonly seal: Seal;
  readonly answer: (ask: PeerAsk) => Promise<PeerReply>;
}

export interface PeerServer {
  readonly address: Address;
  /** Ends it at once. */
  readonly close: () => void;
}

/**
 * Starts the server.
 *
 * @param options where to listen, the seal and who answers
 */
export async function createPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const { listen, seal, answer } = options;
  const server = new Server();
  const ask = (call: ServerUnaryCall<Buffer, Buffer>, callback: sendUnaryData<Buffer>): void => {
    const checked = readAsk(call.request, seal);
    if (checked === undefined) {
      callback({ code: status.UNAUTHENTICATED, details: 'no valid seal or no known ask' });
      return;
    }
    answer(checked).then(
      (reply) => {
        callback(null, Buffer.from(seal.close(encode(reply, { ignoreUndefined: true }))));
      },
      (error: unknown) => {
        callback({ code: status.INTERNAL, details: String(error) });
      },
    );
  };
  server.addService(peerService, { ask });
  const host = listen.host.includes(':') ? `[${listen.host}]` : listen.host;
  const port = await new Promise<number>((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync(`${host}:${listen.port}`, credentials, (error, bound) => {
      if (error === null) resolve(bound);
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

function readAsk(request: Buffer, seal: Seal): PeerAsk | undefined {
  const opened = seal.open(request);
  if (opened === undefined) return undefined;
  try {
    return peerAskSchema.safeParse(decode(opened)).data;
  } catch {
    return undefined;
  }
}
