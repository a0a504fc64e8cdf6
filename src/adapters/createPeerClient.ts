/** Asks other VMs over gRPC; a connection is kept for each VM that was asked of late. */

import { Client, credentials } from '@grpc/grpc-js';
import { decode, encode } from '@msgpack/msgpack';
import { LRUCache } from 'lru-cache';
import type { Address } from '../vms/vm';
import { CONNECT_TIMEOUT_MS, MAX_PEER_CONNECTIONS } from './constants';
import { peerReplySchema } from './peerMessage';
import type { PeerAsk, PeerReply } from './peerMessage';
import { askMethod } from './peerService';
import type { Seal } from './seal';

/** `unreachable`: nothing was sent. `lost`: it was sent, and no reply came. */
export type PeerResult = PeerReply | { readonly type: 'unreachable' | 'lost' };

export interface PeerClient {
  readonly ask: (to: Address, ask: PeerAsk, timeoutMs: number) => Promise<PeerResult>;
  readonly close: () => void;
}

/**
 * Creates a client for all VMs.
 *
 * @param seal authenticates asks and replies
 */
export function createPeerClient(seal: Seal): PeerClient {
  const clients = new LRUCache<string, Client>({
    max: MAX_PEER_CONNECTIONS,
    dispose: (client) => {
      client.close();
    },
  });
  const clientOf = ({ host, port }: Address): Client => {
    const target = host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
    const known = clients.get(target);
    if (known !== undefined) return known;
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
    ask: async (to, ask, timeoutMs) => {
      const client = clientOf(to);
      if (!(await isReady(client))) return { type: 'unreachable' };
      const bytes = Buffer.from(seal.close(encode(ask, { ignoreUndefined: true })));
      return send(client, bytes, timeoutMs, seal);
    },
    close: () => {
      clients.clear();
    },
  };
}

function isReady(client: Client): Promise<boolean> {
  return new Promise((resolve) => {
    client.waitForReady(Date.now() + CONNECT_TIMEOUT_MS, (error) => {
      resolve(error === undefined);
    });
  });
}

function send(client: Client, bytes: Buffer, timeoutMs: number, seal: Seal): Promise<PeerResult> {
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
        resolve(error === null && reply !== undefined ? readReply(reply, seal) : { type: 'lost' });
      },
    );
  });
}

function readReply(reply: Buffer, seal: Seal): PeerResult {
  const opened = seal.open(reply);
  if (opened === undefined) return { type: 'lost' };
  const checked = peerReplySchema.safeParse(decode(opened));
  return checked.data ?? { type: 'lost' };
}
