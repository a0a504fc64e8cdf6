/** Sends requests to other VMs over gRPC and keeps connections to the most recently used ones open. */

import { Client, credentials } from '@grpc/grpc-js';
import { decode, encode } from '@msgpack/msgpack';
import { LRUCache } from 'lru-cache';
import type { Address } from '../vms/vm';
import { CONNECT_TIMEOUT_MS, MAX_PEER_CONNECTIONS } from './constants';
import type { MessageAuthenticator } from './messageAuthenticator';
import { peerReplySchema } from './peerMessage';
import type { PeerReply, PeerRequest } from './peerMessage';
import { askMethod } from './peerService';

/** `unreachable`: the request was not sent. `lost`: it was sent, but no valid reply arrived. */
export type PeerResult = PeerReply | { readonly type: 'unreachable' | 'lost' };

export interface PeerClient {
  /** Sends a request and returns the reply. */
  readonly ask: (to: Address, request: PeerRequest, timeoutMs: number) => Promise<PeerResult>;
  readonly close: () => void;
}

/**
 * Creates a client that serves all VMs.
 *
 * @param authenticator authenticates requests and replies
 */
export function createPeerClient(authenticator: MessageAuthenticator): PeerClient {
  const clients = new LRUCache<string, Client>({
    max: MAX_PEER_CONNECTIONS,
    dispose: (client) => {
      client.close();
    },
  });
  const getClient = ({ host, port }: Address): Client => {
    const target = host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
    const cached = clients.get(target);
    if (cached !== undefined) return cached;
    const options = {
      'grpc.enable_retries': 0,
      'grpc.initial_reconnect_backoff_ms': 100,
      'grpc.max_reconnect_backoff_ms': 1000,
    };
    const client = new Client(target, credentials.createInsecure(), options);
    clients.set(target, client);
    return client;
  };
  return {
    ask: async (to, request, timeoutMs) => {
      const client = getClient(to);
      if (!(await waitUntilReady(client))) return { type: 'unreachable' };
      const bytes = Buffer.from(authenticator.sign(encode(request, { ignoreUndefined: true })));
      return send(client, bytes, timeoutMs, authenticator);
    },
    close: () => {
      clients.clear();
    },
  };
}

function waitUntilReady(client: Client): Promise<boolean> {
  return new Promise((resolve) => {
    client.waitForReady(Date.now() + CONNECT_TIMEOUT_MS, (error) => {
      resolve(error === undefined);
    });
  });
}

function send(
  client: Client,
  bytes: Buffer,
  timeoutMs: number,
  authenticator: MessageAuthenticator,
): Promise<PeerResult> {
  const { path, requestSerialize, responseDeserialize } = askMethod;
  const deadline = Date.now() + timeoutMs;
  return new Promise((resolve) => {
    client.makeUnaryRequest(
      path,
      requestSerialize,
      responseDeserialize,
      bytes,
      { deadline },
      (error, reply) => {
        resolve(
          error === null && reply !== undefined
            ? decodeReply(reply, authenticator)
            : { type: 'lost' },
        );
      },
    );
  });
}

function decodeReply(reply: Buffer, authenticator: MessageAuthenticator): PeerResult {
  const verified = authenticator.verify(reply);
  if (verified === undefined) return { type: 'lost' };
  const checked = peerReplySchema.safeParse(decode(verified));
  return checked.data ?? { type: 'lost' };
}
