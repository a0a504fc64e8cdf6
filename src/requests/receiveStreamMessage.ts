/** Handles the messages and the end of a request's stream. */

import { receiveFrame } from './receiveFrame';
import { recoverRequest, type AttemptFailure } from './recoverRequest';
import type { Router, RouterDecision } from './router';
import type { RouterEffect, RouterEvent } from './routerMessage';
import type { RunningRequest } from './runningRequest';

type StreamMessageEvent = Extract<RouterEvent, { readonly type: 'stream-message' }>;
type StreamClosed = Extract<RouterEvent, { readonly type: 'stream-closed' }>;

/** Handles a message on a stream. */
export function receiveStreamMessage(router: Router, event: StreamMessageEvent): RouterDecision {
  const { message } = event;
  if (message.type === 'frame') return receiveFrame(router, event, message.frame);
  const running = findOpenAttempt(router, event);
  if (running === undefined) return ignoreStaleMessage(router, message.type);
  if (message.type === 'stage-failed') return recoverFailedStage(router, running, event, message);
  const first = getFirstEngine(running);
  const failure: AttemptFailure = {
    reason: message.reason === 'overloaded' ? 'engine-overloaded' : 'engine-refused',
    detail: `The engine refused the stream: ${message.reason}`,
    failed: first,
    ran: 'nothing',
  };
  return recoverRequest(router, running, failure, event);
}

/** Recovers a request whose stream ended before its last frame. */
export function recoverClosedStream(router: Router, event: StreamClosed): RouterDecision {
  const running = findOpenAttempt(router, event);
  if (running === undefined) return { state: router, effects: [] };
  const failed = getFirstEngine(running);
  const failure: AttemptFailure = {
    reason: event.cause === 'unreachable' ? 'engine-unreachable' : 'stream-cut',
    detail: event.detail,
    failed,
    ...(event.cause === 'reset' && failed[0] !== undefined ? { crashed: failed[0] } : {}),
    ran: event.cause === 'unreachable' ? 'nothing' : 'maybe',
  };
  const recovered = recoverRequest(router, running, failure, event);
  return { ...recovered, effects: [...reportFailures(failed), ...recovered.effects] };
}

function recoverFailedStage(
  router: Router,
  running: RunningRequest,
  event: StreamMessageEvent,
  { engine, detail }: { readonly engine: string; readonly detail: string },
): RouterDecision {
  const isOnRoute = running.route.some((stage) => stage.engine === engine);
  const failed = isOnRoute ? [engine] : getFirstEngine(running);
  const crashed = isOnRoute ? { crashed: engine } : {};
  const failure: AttemptFailure = {
    reason: 'stage-failed',
    detail,
    failed,
    ran: 'known',
    ...crashed,
  };
  const recovered = recoverRequest(router, running, failure, event);
  return { ...recovered, effects: [...reportFailures(failed), ...recovered.effects] };
}

/** Finds the request if the message belongs to its open attempt. */
function findOpenAttempt(
  router: Router,
  event: StreamMessageEvent | StreamClosed,
): RunningRequest | undefined {
  const running = router.requests.get(event.request);
  if (running?.attempt !== event.attempt || running.phase !== 'streaming') return undefined;
  return running;
}

function getFirstEngine(running: RunningRequest): readonly string[] {
  return running.route.slice(0, 1).map((stage) => stage.engine);
}

function reportFailures(failed: readonly string[]): readonly RouterEffect[] {
  return failed.map((server) => ({ type: 'observe-server', server, observation: 'failed' }));
}

function ignoreStaleMessage(router: Router, type: string): RouterDecision {
  const labels = { type };
  return {
    state: router,
    effects: [{ type: 'count', counter: 'stream_messages_ignored', by: 1, labels }],
  };
}
