/**
 * Writes a model's answer to one caller, as server-sent events or as one response. This is the last
 * check that a token belongs to this caller at this position. The data buffered for a slow reader is
 * bounded. If it exceeds the bound, or the caller reads nothing for too long, the connection is reset,
 * so no client mistakes the partial answer for a complete one.
 */

import type { ServerResponse } from 'node:http';
import type { Refusal } from '../outcomes/outcome';
import type { TokenFrame } from '../requests/tokenFrame';
import type { WorkspaceId } from '../workspaces/workspace';
import type { CallerFault, CallerStream } from './callerStream';
import {
  createChunk,
  createCompletion,
  createFinishChunk,
  createUsageChunk,
} from './completionFormat';
import type { CompletionMetadata, Usage } from './completionFormat';
import type { CompletionRequest } from './completionRequest';
import { sendJson } from './sendJson';
import { createProblemBody, sendProblem } from './sendProblem';
import { toProblem } from './toProblem';

export interface CallerStreamOptions {
  readonly response: ServerResponse;
  readonly workspace: WorkspaceId;
  /** Metadata that every chunk of the answer repeats. */
  readonly head: CompletionMetadata;
  /** The caller's completion request. */
  readonly ask: CompletionRequest;
  /** Maximum number of bytes buffered for this caller. */
  readonly bufferBytes: number;
  /** Time after which the connection of a caller that reads nothing is reset, milliseconds. */
  readonly idleMs: number;
  /** Called once when this VM ends the stream early; the request must then be cancelled. */
  readonly onFault: (fault: CallerFault) => void;
}

const WRONG_DELIVERY: Refusal = {
  outcome: 'failed',
  reason: 'invariant-violated',
  detail: 'a token of another request or position reached this caller and was not delivered',
};

/**
 * Creates the stream of one caller. It sends nothing before the first token or the end.
 *
 * @param options the HTTP response, the completion request and the limits
 */
export function createCallerStream(options: CallerStreamOptions): CallerStream {
  const { response, head: metadata, ask: completionRequest, onFault } = options;
  let position = 0;
  let text = '';
  let isEnded = false;

  const refuse = (refusal: Refusal): void => {
    if (isEnded) return;
    isEnded = true;
    if (response.headersSent) endWithErrorEvent(response, refusal);
    else sendProblem(response, toProblem(refusal));
  };
  const resetSlowReader = (): void => {
    isEnded = true;
    onFault('slow-reader');
    response.destroy();
  };
  const isSlow = (): boolean => response.writableLength > options.bufferBytes;
  const writeEvent = (body: string, event = ''): void => {
    if (!response.headersSent) startEventStream(response);
    response.write(`${event}data: ${body}\n\n`);
  };
  response.setTimeout(options.idleMs, () => {
    if (response.writableLength === 0) return;
    if (isEnded) response.destroy();
    else resetSlowReader();
  });

  return {
    deliver: (frame) => {
      if (isEnded || response.destroyed) return;
      if (!isExpectedFrame(frame, options, position)) {
        onFault('wrong-delivery');
        refuse(WRONG_DELIVERY);
        return;
      }
      if (completionRequest.isStream)
        writeEvent(JSON.stringify(createChunk(metadata, frame.text, position === 0)));
      else text += frame.text;
      position += 1;
      if (isSlow()) resetSlowReader();
    },
    finish: (finish) => {
      if (isEnded) return;
      isEnded = true;
      const usage = countUsage(completionRequest, position);
      if (!completionRequest.isStream) {
        sendJson(response, 200, createCompletion(metadata, text, finish, usage));
        return;
      }
      writeEvent(JSON.stringify(createFinishChunk(metadata, finish)));
      if (completionRequest.includesUsage)
        writeEvent(JSON.stringify(createUsageChunk(metadata, usage)));
      writeEvent('[DONE]');
      response.end();
    },
    refuse,
  };
}

function isExpectedFrame(
  frame: TokenFrame,
  { head: metadata, workspace }: CallerStreamOptions,
  position: number,
): boolean {
  const isSameRequest = frame.request === metadata.request;
  const isSameWorkspace = frame.workspace === workspace;
  return isSameRequest && isSameWorkspace && frame.position === position;
}

function startEventStream(response: ServerResponse): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-store',
  });
}

/** Sends an error event and no `[DONE]`, so that clients do not treat the partial answer as complete. */
function endWithErrorEvent(response: ServerResponse, refusal: Refusal): void {
  const body = JSON.stringify(createProblemBody(toProblem(refusal)));
  response.write(`event: error\ndata: ${body}\n\n`);
  response.end();
}

function countUsage(completionRequest: CompletionRequest, tokens: number): Usage {
  const prompt = completionRequest.prompt.length;
  return { prompt_tokens: prompt, completion_tokens: tokens, total_tokens: prompt + tokens };
}
