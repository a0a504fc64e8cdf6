/** Has another VM serve a call. */

import type { GatewayHost } from '../../gateway/job';
import type { CallOutcome } from './callServer';
import type { PeerReply, PeerRequest } from './openPeerExchange';
import { openPeerExchange, readPeerReply } from './openPeerExchange';

/** Resolves with the outcome; `answered` also for a refusal of the other VM, which is final. */
export async function forwardCall(
  host: GatewayHost,
  request: Omit<PeerRequest, 'lastEventId'>,
): Promise<CallOutcome> {
  const { job, peer } = request;
  const startedMs = host.now();
  const outcome = await new Promise<CallOutcome>((resolve) => {
    const exchange = openPeerExchange(
      host,
      { ...request, lastEventId: job.head.lastEventId },
      {
        onReply: (reply) => {
          void readPeerReply(host, job, reply).then((read) => {
            resolve(toOutcome(read));
          });
        },
        onFailure: ({ isSent, detail, isRefused }) => {
          if (isSent) resolve({ type: 'unknown', detail, isLost: false });
          else resolve({ type: 'unreached', detail, isRefused });
        },
      },
    );
    job.onClose(() => {
      exchange.abort();
      resolve({ type: 'stopped' });
    });
  });
  host.count('forwarded', outcome.type);
  host.log('request forwarded', {
    id: job.head.id,
    peer: peer.vm,
    end: outcome.type,
    detail: 'detail' in outcome ? outcome.detail : undefined,
    status: outcome.type === 'answered' ? outcome.reply.status : undefined,
    tookMs: Math.round(host.now() - startedMs),
  });
  return outcome;
}

function toOutcome(read: PeerReply): CallOutcome {
  if (read.type === 'unreached') return { ...read, isRefused: false };
  if (read.type === 'broken') return { type: 'unknown', detail: read.detail, isLost: false };
  return read;
}
