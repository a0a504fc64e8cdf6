/**
 * Writes a model's answer to one caller, as server-sent events or whole. It is the last check that a
 * token belongs to this caller at this position. What waits for a slow reader is bounded: past the
 * bound, or where nothing was read for too long, the connection is reset, which no client takes for
 * a whole answer.
 */

import type { ServerResponse } from 'node:http';
import type { Refusal } from '../outcomes/outcome';
import type { TokenFrame } from '../requests/tokenFrame';
import type { WorkspaceId } from '../workspaces/workspace';
import type { CallerFault, CallerStream } from './callerStream';
import type { CompletionAsk } from './completionAsk';
import {
  createChunk,
  createLastChunk,
  createUsageChunk,
  createWholeAnswer,
} from './completionFormat';
import type { AnswerHead, Usage } from './completionFormat';
import { sendJson } from './sendJson';
import { createProblemBody, sendProblem } from './sendProblem';
import { toProblem } from './toProblem';

export interface CallerStreamOptions {
  readonly response: ServerResponse;
  readonly workspace: WorkspaceId;
  readonly head: AnswerHead;
  readonly ask: CompletionAsk;
  /** Bytes that may wait for this caller. */
  readonly bufferBytes: number;
  /** Time without reading after which the caller is cut off, milliseconds. */
  readonly idleMs: number;
  /** Told once when this VM ends the connection; the request has to be cancelled. */
  readonly onFault: (fault: CallerFault) => void;
}

const WRONG_DELIVERY: Refusal = {
  outcome: 'failed',
  reason: 'invariant-violated',
  detail: 'a token of another request or position reached this caller and was not delivered',
};

/**
 * Creates the stream of one caller; nothing is sent before the first token or the end.
 *
 * @param options the response, what was asked, and the bounds
 */
export function createCallerStream(options: CallerStreamOptions): CallerStream {
  const { response, head, ask, onFault } = options;
  let position = 0;
  let text = '';
  let isEnded = false;

  const refuse = (refusal: Refusal): void => {
    if (isEnded) return;
    isEnded = true;
    if (response.headersSent) endWithError(response, refusal);
    else sendProblem(response, toProblem(refusal));
  };
  const cutSlowReader = (): void => {
    isEnded = true;
    onFault('slow-reader');
    response.destroy();
  };
  const isSlow = (): boolean => response.writableLength > options.bufferBytes;
  const writeEvent = (body: string, event = ''): void => {
    if (!response.headersSent) startEvents(response);
    response.write(`${event}data: ${body}\n\n`);
  };
  response.setTimeout(options.idleMs, () => {
    if (response.writableLength === 0) return;
    if (isEnded) response.destroy();
    else cutSlowReader();
  });

  return {
    deliver: (frame) => {
      if (isEnded || response.destroyed) return;
      if (!isOwn(frame, options, position)) {
        onFault('wrong-delivery');
        refuse(WRONG_DELIVERY);
        return;
      }
      if (ask.isStream) writeEvent(JSON.stringify(createChunk(head, frame.text, position === 0)));
      else text += frame.text;
      position += 1;
      if (isSlow()) cutSlowReader();
    },
    finish: (finish) => {
      if (isEnded) return;
      isEnded = true;
      const usage = countUsage(ask, position);
      if (!ask.isStream) {
        sendJson(response, 200, createWholeAnswer(head, text, finish, usage));
        return;
      }
      writeEvent(JSON.stringify(createLastChunk(head, finish)));
      if (ask.includesUsage) writeEvent(JSON.stringify(createUsageChunk(head, usage)));
      writeEvent('[DONE]');
      response.end();
    },
    refuse,
  };
}

function isOwn(
  frame: TokenFrame,
  { head, workspace }: CallerStreamOptions,
  position: number,
): boolean {
  const isSameRequest = frame.request === head.request;
  const isSameWorkspace = frame.workspace === workspace;
  return isSameRequest && isSameWorkspace && frame.position === position;
}

function startEvents(response: ServerResponse): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-store',
  });
}

/** An explicit error event and no `[DONE]`: what came before can't be taken for the whole answer. */
function endWithError(response: ServerResponse, refusal: Refusal): void {
  const body = JSON.stringify(createProblemBody(toProblem(refusal)));
  response.write(`event: error\ndata: ${body}\n\n`);
  response.end();
}

function countUsage(ask: CompletionAsk, tokens: number): Usage {
  const prompt = ask.prompt.length;
  return { prompt_tokens: prompt, completion_tokens: tokens, total_tokens: prompt + tokens };
}
