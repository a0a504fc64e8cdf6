/** Validates a completion request and passes it to the router. */

import { fingerprint } from '../hashing/fingerprint';
import type { Request } from '../requests/request';
import type { ModelService } from '../services/service';
import { MS_PER_SECOND } from '../units';
import type { WorkspaceId } from '../workspaces/workspace';
import { parseCompletionRequest } from './completionRequest';
import type { CompletionRequest, CompletionStyle } from './completionRequest';
import { createCallerStream } from './createCallerStream';
import type { Exchange, HttpHost } from './exchange';
import { readJsonBody } from './readJsonBody';
import { refuseExchange } from './refuseExchange';

/**
 * Handles one exchange of `POST /v1/completions` or `POST /v1/chat/completions`.
 *
 * @param style the API that the path belongs to
 * @param exchange the HTTP exchange
 * @param workspace the caller's workspace
 */
export async function handleCompletion(
  style: CompletionStyle,
  exchange: Exchange,
  workspace: WorkspaceId,
): Promise<void> {
  const body = await readJsonBody(exchange);
  if (body === undefined) return;
  const parsed = parseCompletionRequest(style, body);
  if (parsed.type === 'invalid') {
    refuseExchange(exchange, parsed.reason, parsed.detail);
    return;
  }
  const { ask: completionRequest } = parsed;
  const service = exchange.host
    .configuration()
    .service.get(`${workspace}/${completionRequest.service}`);
  if (service?.kind !== 'model') {
    refuseExchange(
      exchange,
      'no-such-service',
      `no model service ${completionRequest.service} here`,
    );
    return;
  }
  const violation = findTokenLimitViolation(completionRequest, service, exchange.host);
  if (violation === undefined) startRequest(style, exchange, completionRequest, service);
  else refuseExchange(exchange, 'too-many-tokens', violation);
}

function findTokenLimitViolation(
  completionRequest: CompletionRequest,
  service: ModelService,
  host: HttpHost,
): string | undefined {
  const { promptTokens, answerTokens } = host.limits;
  const prompt = completionRequest.prompt.length;
  if (prompt === 0) return 'the prompt has no tokens';
  if (prompt > promptTokens) return `the prompt has ${prompt} tokens of at most ${promptTokens}`;
  if (completionRequest.maxTokens > answerTokens)
    return `an answer has at most ${answerTokens} tokens`;
  if (prompt + completionRequest.maxTokens > service.maxTokens) {
    return `prompt and answer together have at most ${service.maxTokens} tokens`;
  }
  return undefined;
}

function startRequest(
  style: CompletionStyle,
  { response, host }: Exchange,
  completionRequest: CompletionRequest,
  service: ModelService,
): void {
  const { streams } = host.waiting;
  const request = createRequest(completionRequest, service, host);
  const removeCaller = (): void => {
    if (!streams.delete(request.id)) return;
    host.send({ side: 'router', event: { type: 'caller-left', request: request.id } });
  };
  const created = Math.floor(Date.now() / MS_PER_SECOND);
  const stream = createCallerStream({
    response,
    workspace: request.workspace,
    head: { style, request: request.id, service: service.id, created },
    ask: completionRequest,
    bufferBytes: host.limits.callerBufferBytes,
    idleMs: host.limits.callerIdleMs,
    onFault: (fault) => {
      host.count('caller_faults', { fault });
      removeCaller();
    },
  });
  response.setHeader('x-request-id', request.id);
  streams.set(request.id, stream);
  response.on('close', removeCaller);
  host.send({ side: 'router', event: { type: 'request-received', request } });
}

function createRequest(
  completionRequest: CompletionRequest,
  service: ModelService,
  host: HttpHost,
): Request {
  const receivedAtMs = host.now();
  const { prompt, maxTokens, priority } = completionRequest;
  return {
    id: host.createId(),
    workspace: service.workspace,
    service: service.id,
    prompt,
    maxTokens,
    priority,
    receivedAtMs,
    deadlineAtMs: receivedAtMs + service.firstTokenTargetMs,
    fingerprint: fingerprint([service.model, prompt, maxTokens]),
  };
}
