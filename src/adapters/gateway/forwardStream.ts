/** Has another VM serve a stream, or the rest of it, and passes its events on. */

import type { IncomingMessage } from 'node:http';
import type { GatewayHost } from '../../gateway/job';
import { isNewer, recordEvent } from '../../gateway/streamProgress';
import type { StreamProgress } from '../../gateway/streamProgress';
import type { AttemptOutcome } from './attemptOutcome';
import { continuesStream } from './continuesStream';
import type { PeerRequest } from './openPeerExchange';
import { openPeerExchange, readPeerReply } from './openPeerExchange';
import { readStreamEvents } from './readStreamEvents';
import { writeStreamHead } from './writeStreamHead';

export interface ForwardedStream extends Omit<PeerRequest, 'lastEventId'> {
  readonly progress: StreamProgress;
  readonly onProgress: (progress: StreamProgress) => void;
}

const OK = 200;
const FIRST_REDIRECT = 300;

/** Resolves with the outcome when the other VM has ended the stream, or is lost. */
export async function forwardStream(
  host: GatewayHost,
  options: ForwardedStream,
): Promise<AttemptOutcome> {
  const { job, peer, onProgress } = options;
  let { progress } = options;
  let isOver = false;
  const startedMs = host.now();
  const outcome = await new Promise<AttemptOutcome>((resolve) => {
    const end = (result: AttemptOutcome): void => {
      if (isOver) return;
      isOver = true;
      exchange.abort();
      resolve(result);
    };
    const receive = (reply: IncomingMessage): void => {
      const status = reply.statusCode ?? 0;
      const head = host.protocol.readReply(status, reply.headers);
      if (!head.isSealed || status < OK || status >= FIRST_REDIRECT) {
        void readPeerReply(host, job, reply).then(end);
        return;
      }
      if (!continuesStream(job.response, status, reply.headers)) {
        end({ type: 'broken', detail: 'not the rest of the stream' });
        return;
      }
      writeStreamHead(job.response, host.protocol, status, reply.headers);
      readStreamEvents(reply, {
        isOver: () => isOver,
        onEvents: (events) => {
          const news = events.filter(({ id }) => isNewer(id, progress.lastEventId));
          if (news.length === 0) return;
          for (const { id } of news) progress = recordEvent(progress, id, host.now());
          onProgress(progress);
          job.response.write(Buffer.concat(news.map(({ bytes }) => bytes)));
          host.countUnsent(job.response);
        },
        onEnd: end,
      });
    };
    const { lastEventId } = progress;
    const exchange = openPeerExchange(
      host,
      { ...options, lastEventId },
      {
        onReply: receive,
        onFailure: ({ isSent, detail }) => {
          end(isSent ? { type: 'broken', detail } : { type: 'unreached', detail });
        },
      },
    );
    job.onClose(() => {
      end({ type: 'stopped' });
    });
  });
  host.count('forwarded', outcome.type);
  host.log('request forwarded', {
    id: job.head.id,
    peer: peer.vm,
    end: outcome.type,
    detail: 'detail' in outcome ? outcome.detail : undefined,
    events: progress.events,
    tookMs: Math.round(host.now() - startedMs),
  });
  return outcome;
}
