/**
 * The reducer of a node's router component, which admits requests, verifies every token and recovers
 * from failed stages.
 */

import { createReducer } from '../decisions/createReducer';
import { ADAPTATION_INTERVAL_MS, ADMISSION_TIMER } from './constants';
import { handleTimer } from './handleTimer';
import { mergeSuspects } from './mergeSuspects';
import { mergeUsage } from './mergeUsage';
import { cancelRequest } from './cancelRequest';
import { replanPipelines } from './replanPipelines';
import { receiveKv } from './receiveKv';
import { recoverClosedStream, receiveStreamMessage } from './receiveStreamMessage';
import { recoverServerRequests } from './recoverServerRequests';
import { recordLoadReport } from './recordLoadReport';
import type { Router, RouterDecision } from './router';
import type { RouterEffect, RouterEvent } from './routerMessage';
import { startRequest } from './startRequest';

/** Applies one event to the router state. */
export const reduceRouter = createReducer<Router, RouterEvent, RouterEffect>({
  'configuration-changed': (router, { configuration }) => ({
    state: replanPipelines({ ...router, configuration }),
    effects: [{ type: 'set-timer', timer: ADMISSION_TIMER, afterMs: ADAPTATION_INTERVAL_MS }],
  }),
  'request-received': startRequest,
  'stream-message': receiveStreamMessage,
  'stream-closed': recoverClosedStream,
  'kv-found': receiveKv,
  'caller-left': (router, { request }) => cancelRequest(router, request),
  'server-crashed': recoverServerRequests,
  'load-reported': (router, event) => withoutEffects(recordLoadReport(router, event)),
  'cache-event': withoutEffects,
  'servers-changed': (router, { servers }) =>
    withoutEffects(
      replanPipelines({ ...router, health: new Map(servers.map((item) => [item.server, item])) }),
    ),
  'use-learned': (router, event) => withoutEffects(mergeUsage(router, event)),
  'suspects-learned': (router, event) => withoutEffects(mergeSuspects(router, event)),
  'accepting-changed': (router, { isAccepting, reason }) =>
    withoutEffects({ ...router, isAccepting, refusalReason: reason }),
  'timer-fired': handleTimer,
});

function withoutEffects(router: Router): RouterDecision {
  return { state: router, effects: [] };
}
