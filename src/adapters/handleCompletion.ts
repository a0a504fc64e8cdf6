/** Takes a caller's ask for a model's answer into the node. */

import { createHash } from 'node:crypto';
import type { Request } from '../requests/request';
import type { ModelService } from '../services/service';
import { MS_PER_SECOND } from '../units';
import type { WorkspaceId } from '../workspaces/workspace';
import { parseCompletionAsk } from './completionAsk';
import type { CompletionAsk, CompletionStyle } from './completionAsk';
import { createCallerStream } from './createCallerStream';
import type { Exchange, HttpHost } from './exchange';
import { readJsonBody } from './readJsonBody';
import { refuseExchange } from './refuseExchange';

/**
 * Handles one exchange of `POST /v1/completions` or `POST /v1/chat/completions`.
 *
 * @param style which of the two
 * @param exchange the exchange
 * @param workspace whose caller it is
 */
export async function handleCompletion(
  style: CompletionStyle,
  exchange: Exchange,
  workspace: WorkspaceId,
): Promise<void> {
  const body = await readJsonBody(exchange);
  if (body === undefined) return;
  const parsed = parseCompletionAsk(style, body);
  if (parsed.type === 'invalid') {
    refuseExchange(exchange, parsed.reason, parsed.detail);
    return;
  }
  const { ask } = parsed;
  const service = exchange.host.configuration().service.get(`${workspace}/${ask.service}`);
  if (service?.kind !== 'model') {
    refuseExchange(exchange, 'no-such-service', `no model service ${ask.service} here`);
    return;
  }
  const excess = findExcess(ask, service, exchange.host);
  if (excess === undefined) startRequest(style, exchange, ask, service);
  else refuseExchange(exchange, 'too-many-tokens', excess);
}

function findExcess(ask: CompletionAsk, service: ModelService, host: HttpHost): string | undefined {
  const { promptTokens, answerTokens } = host.limits;
  const prompt = ask.prompt.length;
  if (prompt === 0) return 'the prompt has no tokens';
  if (prompt > promptTokens) return `the prompt has ${prompt} tokens of at most ${promptTokens}`;
  if (ask.maxTokens > answerTokens) return `an answer has at most ${answerTokens} tokens`;
  if (prompt + ask.maxTokens > service.maxTokens) {
    return `prompt and answer together have at most ${service.maxTokens} tokens`;
  }
  return undefined;
}

function startRequest(
  style: CompletionStyle,
  { response, host }: Exchange,
  ask: CompletionAsk,
  service: ModelService,
): void {
  const { streams } = host.waiting;
  const request = createRequest(ask, service, host);
  const leave = (): void => {
    if (!streams.delete(request.id)) return;
    host.send({ side: 'router', event: { type: 'caller-left', request: request.id } });
  };
  const created = Math.floor(Date.now() / MS_PER_SECOND);
  const stream = createCallerStream({
    response,
    workspace: request.workspace,
    head: { style, request: request.id, service: service.id, created },
    ask,
    bufferBytes: host.limits.callerBufferBytes,
    idleMs: host.limits.callerIdleMs,
    onFault: (fault) => {
      host.count('caller_faults', { fault });
      leave();
    },
  });
  response.setHeader('x-request-id', request.id);
  streams.set(request.id, stream);
  response.on('close', leave);
  host.send({ side: 'router', event: { type: 'request-received', request } });
}

function createRequest(ask: CompletionAsk, service: ModelService, host: HttpHost): Request {
  const receivedAtMs = host.now();
  const { prompt, maxTokens, priority } = ask;
  const content = JSON.stringify([service.model, prompt, maxTokens]);
  return {
    id: host.createId(),
    workspace: service.workspace,
    service: service.id,
    prompt,
    maxTokens,
    priority,
    receivedAtMs,
    deadlineAtMs: receivedAtMs + service.firstTokenTargetMs,
    fingerprint: createHash('sha256').update(content).digest('hex'),
  };
}
