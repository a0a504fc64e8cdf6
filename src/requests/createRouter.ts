/** The router side of a node before it knows anything. */

import { Map } from 'immutable';
import { createConfiguration } from '../configuration/createConfiguration';
import { chooseRoute } from './chooseRoute';
import { ANSWER_TOKENS, MAX_RUNNING, PROMPT_TOKENS, RETRY_BURST } from './constants';
import type { Router, RouterOptions } from './router';

/**
 * @param given settings; each has a default
 * @returns a router that refuses every request until a configuration arrives
 */
export function createRouter(given: Partial<RouterOptions> = {}): Router {
  const options = { maxRunning: MAX_RUNNING, startLimit: undefined, chooseRoute, ...given };
  return {
    options,
    configuration: createConfiguration(),
    health: new globalThis.Map(),
    pipelines: new globalThis.Map(),
    requests: Map(),
    engines: Map(),
    failedAtMs: -Infinity,
    lostDomains: new globalThis.Set(),
    admission: {
      workspaces: Map(),
      models: Map(),
      adaptedAtMs: 0,
    },
    suspicion: { records: Map(), crashes: [] },
    acceptingVms: 1,
    workload: { promptTokens: PROMPT_TOKENS, answerTokens: ANSWER_TOKENS },
    retries: { credit: RETRY_BURST },
    isAccepting: true,
    refusalReason: '',
  };
}
