/** Sends one request to one backend server and reads the whole reply. */

import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import type { ListedServer } from '../../chains/layerEngine';
import type { ReplyHead } from '../../gateway/backendProtocol';
import type { GatewayHost, Job } from '../../gateway/job';
import { openExchange } from './openExchange';
import { readReplyBody } from './readReplyBody';

/** A reply that the backend server vouches for. */
export interface ServerReply {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

export type CallEnd =
  | { readonly type: 'answered'; readonly reply: ServerReply }
  /** The server says that it did not run the request. */
  | { readonly type: 'not-run'; readonly detail: string }
  /** No connection was made, so nothing was sent. */
  | { readonly type: 'unreached'; readonly detail: string }
  /** It may have run. */
  | { readonly type: 'unknown'; readonly detail: string }
  /** The caller left or its time is up. */
  | { readonly type: 'stopped' };

export interface ServerCall {
  readonly end: Promise<CallEnd>;
  /** Gives the call up; it ends as `unknown` with this detail. */
  readonly abandon: (detail: string) => void;
}

/**
 * @param host the gateway
 * @param job the request
 * @param server who is to run it
 */
export function callServer(host: GatewayHost, job: Job, server: ListedServer): ServerCall {
  const { protocol, registry: board } = host;
  const reservation = board.reserve(
    [{ id: server.id, address: server.address, layers: { from: 0, to: 0 } }],
    0,
  );
  let settle: (end: CallEnd) => void = () => undefined;
  const end = new Promise<CallEnd>((resolve) => {
    settle = (value) => {
      reservation.release();
      resolve(value);
    };
  });
  const headers = protocol.forwardHeaders(job.headers, {
    deadlineMs: Math.max(1, Math.floor(job.expiresMs - host.now())),
    serverId: server.id,
    workspace: job.workspace,
    priority: job.priority,
    stages: [],
    lastEventId: job.head.lastEventId,
  });
  job.markSent();
  const exchange = openExchange(
    { address: server.address, method: job.method, path: job.path, headers, body: job.body },
    {
      onReply: (reply) => {
        void readEnd(host, job, reply).then(settle);
      },
      onFailure: ({ isSent, detail }) => {
        settle({ type: isSent ? 'unknown' : 'unreached', detail });
      },
    },
  );
  const abandon = (detail: string): void => {
    exchange.abort();
    settle({ type: 'unknown', detail });
  };
  job.onClose(() => {
    exchange.abort();
    settle({ type: 'stopped' });
  });
  return { end, abandon };
}

async function readEnd(host: GatewayHost, job: Job, reply: IncomingMessage): Promise<CallEnd> {
  const { protocol } = host;
  const status = reply.statusCode ?? 0;
  const head = protocol.readReply(status, reply.headers);
  if (head.isNotRun) {
    reply.destroy();
    return { type: 'not-run', detail: `status ${status}` };
  }
  const fault = findFault(head, job.head.id);
  if (fault !== undefined) {
    reply.destroy();
    return { type: 'unknown', detail: fault };
  }
  const read = await readReplyBody(reply);
  if (read.type === 'broken') return { type: 'unknown', detail: read.detail };
  const headers = protocol.replyHeaders(reply.headers);
  return { type: 'answered', reply: { status, headers, body: read.body } };
}

/** Why a reply cannot be passed on, undefined where it can. */
function findFault(head: ReplyHead, requestId: string): string | undefined {
  if (head.requestId !== undefined && head.requestId !== requestId)
    return 'reply to another request';
  if (!head.isSealed) return 'reply without signature';
  if (!head.isUnencoded) return 'reply with an encoding';
  return undefined;
}
