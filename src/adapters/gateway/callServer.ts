/** Sends one request to one backend server and reads the complete reply. */

import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import type { ListedServer } from '../../chains/layerEngine';
import type { ReplyHead } from '../../gateway/backendProtocol';
import { isReplyTo } from '../../gateway/isReplyTo';
import type { GatewayHost, Job } from '../../gateway/job';
import { isFramed } from './isFramed';
import { openExchange } from './openExchange';
import { readReplyBody } from './readReplyBody';
import { recordReplyNotices } from './recordReplyNotices';

/** A reply that carries the backend server's signature. */
export interface ServerReply {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
  /** Whether it stated where it ends. */
  readonly isFramed: boolean;
}

export type CallOutcome =
  | { readonly type: 'answered'; readonly reply: ServerReply }
  /** The server reports that it did not run the request. */
  | { readonly type: 'not-run'; readonly detail: string }
  /** No connection was made, so nothing was sent. */
  | { readonly type: 'unreached'; readonly detail: string; readonly isRefused: boolean }
  /** The request may have run; `isLost` if the connection ended before the answer did. */
  | { readonly type: 'unknown'; readonly detail: string; readonly isLost: boolean }
  /** The caller left or the deadline passed. */
  | { readonly type: 'stopped' };

export interface ServerCall {
  readonly end: Promise<CallOutcome>;
  /** Abandons the call; it ends as `unknown` with this detail. */
  readonly abandon: (detail: string) => void;
}

/**
 * Reserves capacity on the server and sends it the request.
 *
 * @param server the server that is to run the request
 */
export function callServer(host: GatewayHost, job: Job, server: ListedServer): ServerCall {
  const { protocol, registry } = host;
  const reservation = registry.reserve(
    [{ id: server.id, address: server.address, layers: { from: 0, to: 0 } }],
    0,
  );
  let resolveCall: (outcome: CallOutcome) => void = () => undefined;
  const outcome = new Promise<CallOutcome>((resolve) => {
    resolveCall = (value) => {
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
  const sentMs = host.now();
  const connection = host.partition.trackConnection();
  job.markSent();
  const exchange = openExchange(
    { address: server.address, method: job.method, path: job.path, headers, body: job.body },
    {
      onConnect: connection.succeeded,
      onReply: (reply) => {
        void readOutcome(host, job, { server, sentMs, reply }).then(resolveCall);
      },
      onFailure: ({ isSent, detail, isRefused, isOversized }) => {
        if (!isSent) connection.failed();
        if (isOversized) host.count('oversized_replies');
        if (isSent) resolveCall({ type: 'unknown', detail, isLost: !isOversized });
        else resolveCall({ type: 'unreached', detail, isRefused });
      },
    },
  );
  const abandon = (detail: string): void => {
    exchange.abort();
    resolveCall({ type: 'unknown', detail, isLost: false });
  };
  job.onClose(() => {
    exchange.abort();
    resolveCall({ type: 'stopped' });
  });
  return { end: outcome, abandon };
}

interface CallReply {
  readonly server: ListedServer;
  /** Time at which the request was sent, monotonic, milliseconds. */
  readonly sentMs: number;
  readonly reply: IncomingMessage;
}

async function readOutcome(
  host: GatewayHost,
  job: Job,
  { server, sentMs, reply }: CallReply,
): Promise<CallOutcome> {
  const { protocol } = host;
  const status = reply.statusCode ?? 0;
  const head = protocol.readReply(status, reply.headers);
  recordReplyNotices(host, { server: server.id, requestId: job.head.id, sentMs, head });
  const isOwn = isReplyTo(head, job.head.id);
  if (isOwn && head.isNotRun) {
    reply.destroy();
    return { type: 'not-run', detail: `status ${status}` };
  }
  const fault = isOwn ? findReplyFault(head) : 'reply to another request';
  if (fault !== undefined) {
    reply.destroy();
    return { type: 'unknown', detail: fault, isLost: false };
  }
  const read = await readReplyBody(reply, host);
  if (read.type === 'broken') {
    if (read.isOversized === true) host.count('oversized_replies');
    return { type: 'unknown', detail: read.detail, isLost: read.isOversized !== true };
  }
  job.response.once('close', read.release);
  if (head.isLeaving) host.registry.recordLeaving(server.id);
  const headers = protocol.replyHeaders(reply.headers);
  const { body } = read;
  return { type: 'answered', reply: { status, headers, body, isFramed: isFramed(reply) } };
}

/** Why a reply cannot be forwarded; undefined if it can. */
function findReplyFault(head: ReplyHead): string | undefined {
  if (!head.isSealed) return 'reply without signature';
  if (!head.isUnencoded) return 'reply with an encoding';
  return undefined;
}
