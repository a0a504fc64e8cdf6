/** Handles what comes on a request's stream, and its end. */

import { receiveFrame } from './receiveFrame';
import { recoverRequest, type Break } from './recoverRequest';
import type { Router, RouterDecision } from './router';
import type { RouterEffect, RouterEvent } from './routerMessage';
import type { RunningRequest } from './runningRequest';

type StreamMessageEvent = Extract<RouterEvent, { readonly type: 'stream-message' }>;
type StreamClosed = Extract<RouterEvent, { readonly type: 'stream-closed' }>;

/** Handles a message on a stream. */
export function receiveStream(router: Router, event: StreamMessageEvent): RouterDecision {
  const { message } = event;
  if (message.type === 'frame') return receiveFrame(router, event, message.frame);
  const running = findCurrent(router, event);
  if (running === undefined) return ignoreStale(router, message.type);
  if (message.type === 'stage-failed') return failStage(router, running, event, message);
  const first = firstEngine(running);
  const broke: Break = {
    reason: message.reason === 'overloaded' ? 'engine-overloaded' : 'engine-refused',
    detail: `The engine refused the stream: ${message.reason}`,
    failed: first,
    ran: 'nothing',
  };
  return recoverRequest(router, running, broke, event);
}

/** Handles the end of a stream; one that ends before a last frame is cut. */
export function closeStream(router: Router, event: StreamClosed): RouterDecision {
  const running = findCurrent(router, event);
  if (running === undefined) return { state: router, effects: [] };
  const failed = firstEngine(running);
  const broke: Break = {
    reason: event.cause === 'unreachable' ? 'engine-unreachable' : 'stream-cut',
    detail: event.detail,
    failed,
    ...(event.cause === 'reset' && failed[0] !== undefined ? { crashed: failed[0] } : {}),
    ran: event.cause === 'unreachable' ? 'nothing' : 'maybe',
  };
  const recovered = recoverRequest(router, running, broke, event);
  return { ...recovered, effects: [...observe(failed), ...recovered.effects] };
}

function failStage(
  router: Router,
  running: RunningRequest,
  event: StreamMessageEvent,
  { engine, detail }: { readonly engine: string; readonly detail: string },
): RouterDecision {
  const isOnRoute = running.route.some((stage) => stage.engine === engine);
  const failed = isOnRoute ? [engine] : firstEngine(running);
  const crashed = isOnRoute ? { crashed: engine } : {};
  const broke: Break = { reason: 'stage-failed', detail, failed, ran: 'known', ...crashed };
  const recovered = recoverRequest(router, running, broke, event);
  return { ...recovered, effects: [...observe(failed), ...recovered.effects] };
}

/** The request, where the message belongs to its open attempt. */
function findCurrent(
  router: Router,
  event: StreamMessageEvent | StreamClosed,
): RunningRequest | undefined {
  const running = router.requests.get(event.request);
  if (running?.attempt !== event.attempt || running.phase !== 'streaming') return undefined;
  return running;
}

function firstEngine(running: RunningRequest): readonly string[] {
  return running.route.slice(0, 1).map((stage) => stage.engine);
}

function observe(failed: readonly string[]): readonly RouterEffect[] {
  return failed.map((server) => ({ type: 'observe-server', server, observation: 'failed' }));
}

function ignoreStale(router: Router, type: string): RouterDecision {
  const labels = { type };
  return {
    state: router,
    effects: [{ type: 'count', counter: 'stream_messages_ignored', by: 1, labels }],
  };
}
