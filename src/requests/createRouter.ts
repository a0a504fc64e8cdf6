/** Creates the initial state of the router component. */

import { Map } from 'immutable';
import { createConfiguration } from '../configuration/createConfiguration';
import { chooseRoute } from './chooseRoute';
import {
  INITIAL_ANSWER_TOKENS,
  MAX_RUNNING,
  INITIAL_PROMPT_TOKENS,
  MAX_RETRY_CREDIT,
} from './constants';
import type { Router, RouterOptions } from './router';

/**
 * @param overrides options that replace the defaults
 * @returns a router that refuses every request until a configuration arrives
 */
export function createRouter(overrides: Partial<RouterOptions> = {}): Router {
  const options = { maxRunning: MAX_RUNNING, initialLimit: undefined, chooseRoute, ...overrides };
  return {
    options,
    configuration: createConfiguration(),
    health: new globalThis.Map(),
    pipelines: new globalThis.Map(),
    requests: Map(),
    engineLoads: Map(),
    lastFailureAtMs: -Infinity,
    failedDomains: new globalThis.Set(),
    admission: {
      workspaces: Map(),
      models: Map(),
      adaptedAtMs: 0,
    },
    crashHistory: { records: Map(), crashes: [] },
    acceptingVms: 1,
    workload: { promptTokens: INITIAL_PROMPT_TOKENS, answerTokens: INITIAL_ANSWER_TOKENS },
    retries: { credit: MAX_RETRY_CREDIT },
    isAccepting: true,
    refusalReason: '',
  };
}
