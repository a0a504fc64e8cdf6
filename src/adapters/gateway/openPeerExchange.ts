/** Sends a caller's request to another VM, which serves it as its own. */

import type { IncomingMessage } from 'node:http';
import type { GatewayHost, Job } from '../../gateway/job';
import { encodeForwardedRequest, FORWARDED_HEADER } from '../../gateway/forwardedRequest';
import type { PeerRecord } from '../../peers/peer';
import type { ServerReply } from './callServer';
import { isFramed } from './isFramed';
import type { Exchange, ExchangeHandlers } from './openExchange';
import { openExchange } from './openExchange';
import type { RefusalReason } from './refuseJob';
import { readReplyBody } from './readReplyBody';

export interface PeerRequest {
  readonly job: Job;
  readonly peer: PeerRecord;
  /** Backend servers that may have run the request. */
  readonly servers: readonly string[];
  /** Whether the request counts in a retry budget already. */
  readonly isCounted: boolean;
  /** Last event that the caller has. */
  readonly lastEventId: string | undefined;
}

/** How another VM answered, other than with a stream of events. */
export type PeerReply =
  | { readonly type: 'answered'; readonly reply: ServerReply }
  /** It cannot serve the request, and has sent it nowhere; a third VM may. */
  | { readonly type: 'unreached'; readonly detail: string }
  | { readonly type: 'broken'; readonly detail: string };

/** Reason in the refusal of a VM that leaves the request to others. */
export const ELSEWHERE = 'elsewhere' satisfies RefusalReason;

/** Calls exactly one of the handlers, once. */
export function openPeerExchange(
  host: GatewayHost,
  { job, peer, servers, isCounted, lastEventId }: PeerRequest,
  handlers: ExchangeHandlers,
): Exchange {
  const deadlineMs = Math.max(1, Math.floor(job.expiresMs - host.now()));
  const forwarded = encodeForwardedRequest({
    vm: host.vm,
    servers,
    isCounted,
    isRetry: job.isRetry,
    catalogVersion: job.catalogVersion,
  });
  const headers = {
    ...host.protocol.peerHeaders(job.headers, { deadlineMs, lastEventId }),
    [FORWARDED_HEADER]: forwarded,
  };
  job.markSent();
  const { method, path, body } = job;
  return openExchange({ address: peer.tableAddress, method, path, headers, body }, handlers);
}

/** Reads a reply that is no stream of events. Own refusals of the VM carry no server's signature. */
export async function readPeerReply(
  host: GatewayHost,
  { response }: Pick<Job, 'response'>,
  reply: IncomingMessage,
): Promise<PeerReply> {
  const status = reply.statusCode ?? 0;
  const { isSealed } = host.protocol.readReply(status, reply.headers);
  const read = await readReplyBody(reply, host);
  if (read.type === 'broken') return { type: 'broken', detail: read.detail };
  const { body } = read;
  response.once('close', read.release);
  if (!isSealed && isElsewhere(status, body)) {
    return { type: 'unreached', detail: `status ${status}` };
  }
  const headers = host.protocol.replyHeaders(reply.headers);
  return { type: 'answered', reply: { status, headers, body, isFramed: isFramed(reply) } };
}

const FIRST_CLIENT_ERROR = 400;
const FIRST_SERVER_ERROR = 500;

/** A client error of another VM comes from another catalog than the one by which the request was accepted. */
function isElsewhere(status: number, body: Buffer): boolean {
  if (status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR) return true;
  try {
    const { error } = JSON.parse(body.toString()) as { readonly error?: unknown };
    return error === ELSEWHERE;
  } catch {
    // Not a refusal of a VM; it is passed on as it came.
    return false;
  }
}
