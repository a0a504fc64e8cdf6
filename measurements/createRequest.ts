/** Requests whose prompt and answer vary around the means of a workload. */

import type { Workload } from '../src/pipelines/workload';
import type { Random } from '../src/random/createRandom';
import type { Request } from '../src/requests/request';
import { SERVICE } from './createFleet';

/** Time that a caller waits for the first token, milliseconds. */
export const DEADLINE_MS = 1300;

/**
 * @param random draws the sizes, uniform from half the mean to half as much again
 * @param workload the means
 * @param number makes id and content unique
 * @param change what is set otherwise
 */
export function createRequest(
  random: Random,
  workload: Workload,
  number: number,
  change: Partial<Request> = {},
): Request {
  const draw = (mean: number): number => Math.round(mean * (0.5 + random.next()));
  const prompt = new Array<number>(draw(workload.promptTokens)).fill(number);
  return {
    id: `request${number}`,
    workspace: 'workspace0',
    service: SERVICE,
    prompt,
    maxTokens: draw(workload.answerTokens),
    priority: 'interactive',
    receivedAtMs: 0,
    deadlineAtMs: Infinity,
    fingerprint: `content${number}`,
    ...change,
  };
}
