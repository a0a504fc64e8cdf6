/** Callers of the model: they check every token against the model itself. */

import { findFailure } from './findFailure';
import { computeAnswer } from '../../standins/engine/computeToken';
import type { Refusal } from '../../src/outcomes/outcome';
import type { TokenFrame } from '../../src/requests/tokenFrame';
import { deliver } from './deliver';
import { drawDelay } from './network';
import type { Work } from './soakItem';
import { LAYERS, MODEL, workspaces } from './soakSite';
import type { World } from './soakWorld';

type RequestWork = Extract<Work, { readonly type: 'request' }>;

type StreamAnswer =
  | { readonly type: 'frame'; readonly frame: TokenFrame }
  | { readonly type: 'finish' }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** Time in which the first token is of use, milliseconds. */
const DEADLINE_MS = 4000;

/** Sends one request and follows its answer to the end. */
export function startRequest(world: World, work: RequestWork): void {
  const node = world.random.pick(world.nodes);
  if (!node.isUp) return;
  const id = `r${world.nextId}`;
  world.nextId += 1;
  world.findings.requests += 1;
  const { prompt, maxTokens } = work;
  const expected = computeAnswer({ id: MODEL, layers: LAYERS }, prompt, maxTokens);
  let text = '';
  node.waiting.set(id, (raw) => {
    const answer = raw as StreamAnswer;
    if (answer.type === 'frame') {
      text += answer.frame.text;
      checkLayers(world, id, answer.frame);
      if (!expected.startsWith(text)) wrong(world, id, `got ${text} for ${expected}`);
    } else if (answer.type === 'finish') {
      if (text !== expected) wrong(world, id, `ended with ${text} for ${expected}`);
    } else if (answer.refusal.outcome === 'not-run' && world.started.has(id)) {
      findFailure(world, 'falseNotRun', `${id} ran (${answer.refusal.reason})`);
    }
  });
  world.schedule(drawDelay(world), () => {
    const receivedAtMs = 1000 + world.nowMs - node.startedAtMs;
    const request = {
      id,
      workspace: workspaces[0],
      service: 'drafts',
      prompt,
      maxTokens,
      priority: 'standard',
      receivedAtMs,
      deadlineAtMs: receivedAtMs + DEADLINE_MS,
      fingerprint: prompt.join(','),
    } as const;
    deliver(world, node, { side: 'router', event: { type: 'request-received', request } });
  });
}

function checkLayers(world: World, request: string, frame: TokenFrame): void {
  let next = 0;
  for (const { layers } of frame.receipts) {
    if (layers.from !== next) break;
    next = layers.to;
  }
  if (next === LAYERS && frame.request === request) return;
  const detail = `${request} got a token of ${frame.request} after ${next} layers in order`;
  findFailure(world, 'layerFaults', detail);
}

function wrong(world: World, request: string, detail: string): void {
  findFailure(world, 'wrongAnswers', `${request} ${detail}`);
}
