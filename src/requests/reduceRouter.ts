/**
 * The router side of a node as one reducer: takes requests in, checks every token, recovers from
 * failed stages.
 */

import { createReducer } from '../decisions/createReducer';
import { ADAPT_MS, ADMISSION_TIMER } from './constants';
import { fireTimer } from './fireTimer';
import { learnSuspects } from './learnSuspects';
import { learnUse } from './learnUse';
import { leaveRequest } from './leaveRequest';
import { planRouter } from './planRouter';
import { receiveKv } from './receiveKv';
import { closeStream, receiveStream } from './receiveStream';
import { recoverServer } from './recoverServer';
import { reportLoad } from './reportLoad';
import type { Router, RouterDecision } from './router';
import type { RouterEffect, RouterEvent } from './routerMessage';
import { startRequest } from './startRequest';

/** Handles one event of the router side. */
export const reduceRouter = createReducer<Router, RouterEvent, RouterEffect>({
  'configuration-changed': (router, { configuration }) => ({
    state: planRouter({ ...router, configuration }),
    effects: [{ type: 'set-timer', timer: ADMISSION_TIMER, afterMs: ADAPT_MS }],
  }),
  'request-received': startRequest,
  'stream-message': receiveStream,
  'stream-closed': closeStream,
  'kv-found': receiveKv,
  'caller-left': (router, { request }) => leaveRequest(router, request),
  'server-crashed': recoverServer,
  'load-reported': (router, event) => quiet(reportLoad(router, event)),
  'cache-event': quiet,
  'servers-changed': (router, { servers }) =>
    quiet(planRouter({ ...router, health: new Map(servers.map((item) => [item.server, item])) })),
  'use-learned': (router, event) => quiet(learnUse(router, event)),
  'suspects-learned': (router, event) => quiet(learnSuspects(router, event)),
  'accepting-changed': (router, { isAccepting, reason }) =>
    quiet({ ...router, isAccepting, refusalReason: reason }),
  'timer-fired': fireTimer,
});

function quiet(router: Router): RouterDecision {
  return { state: router, effects: [] };
}
