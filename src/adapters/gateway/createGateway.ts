/**
 * Takes callers' requests: finds the route, the workspace and the service, and hands each request to
 * the way its answer is carried. Requests are refused as not run while this VM cannot know that its
 * catalog is in force.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { authorize } from '../../catalog/authorize';
import type { AnswerForm, Catalog, RouteRule, ServiceProfile } from '../../catalog/catalog';
import { matchRoute } from '../../catalog/matchRoute';
import { pickService } from '../../catalog/pickService';
import { createCallHistory } from '../../gateway/createCallHistory';
import { createAdmissionQueue } from './createAdmissionQueue';
import { createRetryDetector } from '../../gateway/createRetryDetector';
import type { GatewayHost, Job } from '../../gateway/job';
import { readRequestBody } from './readRequestBody';
import { refuseJob } from './refuseJob';
import type { RefusalOptions, RefusalReason } from './refuseJob';
import { serveCall } from './serveCall';
import { serveStream } from './serveStream';

export interface Gateway {
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  /** Requests that are not answered to the end. */
  readonly active: () => number;
}

export interface GatewayOptions {
  readonly host: GatewayHost;
  /** Undefined before the first one is known. */
  readonly catalog: () => Catalog | undefined;
  /** The catalog is known to be in force, or nearly. */
  readonly isConfirmed: () => boolean;
  /** No new request may be taken; the VM is about to stop. */
  readonly isClosing: () => boolean;
  /** Another VM takes callers. */
  readonly hasPeers: () => boolean;
  /** Connections are to be given up after their next answer. */
  readonly isDraining: () => boolean;
}

/** Time that a request may take where neither caller nor route bounds it, milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;

/** When to come back to another VM, milliseconds. */
const ELSEWHERE_RETRY_MS = 50;

/** When to come back where no VM takes callers, as while the store is away, milliseconds. */
const NOWHERE_RETRY_MS = 1_500;

/** Answers this close to the end of a request's time would come too late, milliseconds. */
const EXPIRY_MARGIN_MS = 10;

type JobHandler = (host: GatewayHost, job: Job) => Promise<void>;

/** Creates the gateway; it listens on nothing itself. */
export function createGateway(options: GatewayOptions): Gateway {
  const { host, catalog, isConfirmed, isClosing, isDraining, hasPeers } = options;
  const history = createCallHistory(host.now);
  const queue = createAdmissionQueue(host.now);
  const returns = createRetryDetector();
  host.registry.onChange(queue.wake);
  const handlers: Readonly<Record<AnswerForm, JobHandler>> = {
    call: (gateway, job) => serveCall(gateway, job, history),
    stream: (gateway, job) => serveStream(gateway, job, queue),
  };
  let active = 0;

  const refuse = (
    request: IncomingMessage,
    response: ServerResponse,
    reason: RefusalReason,
    refusal: RefusalOptions = {},
  ): void => {
    const { id } = host.protocol.readRequest(request.headers);
    host.count('refusals', reason);
    host.log('request refused', { id, reason, path: request.url });
    request.resume();
    refuseJob(response, reason, host.protocol, refusal);
  };

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const arrivedMs = host.now();
    const retryAfterMs = hasPeers() ? ELSEWHERE_RETRY_MS : NOWHERE_RETRY_MS;
    const elsewhere = { retryAfterMs, isLast: true };
    if (isDraining()) response.setHeader('connection', 'close');
    const published = catalog();
    if (published === undefined || isClosing()) {
      refuse(request, response, 'not-run', elsewhere);
      return;
    }
    const rule = matchRoute(published, request.headers.host ?? '', request.url ?? '');
    if (!isConfirmed() && rule?.isPublic !== true) {
      refuse(request, response, 'not-run', elsewhere);
      return;
    }
    if (rule === undefined) {
      refuse(request, response, 'no-route');
      return;
    }
    const head = host.protocol.readRequest(request.headers);
    const access = authorize(published, rule, head.authorization);
    if (access.type === 'denied') {
      refuse(request, response, 'no-credential');
      return;
    }
    const read = await readRequestBody(request, published.limits.maxBodyBytes);
    if (read.type === 'too-large') refuse(request, response, 'too-large', { isLast: true });
    if (read.type !== 'whole') return;
    const service = pickService(rule, head.id);
    const profile = published.services.get(service ?? '');
    if (profile === undefined) {
      refuse(request, response, 'not-run', { retryAfterMs: ELSEWHERE_RETRY_MS });
      return;
    }
    const job = createJob({ request, response, rule, profile, arrivedMs, body: read.body });
    const expiry = setTimeout(() => {
      expire(job);
    }, job.expiresMs - host.now());
    response.once('close', () => {
      clearTimeout(expiry);
    });
    const named = { ...job, workspace: access.credential?.workspace };
    const priority = access.credential?.priority ?? rule.priority;
    await handlers[rule.form](host, { ...named, priority });
  };

  const expire = (job: Job): void => {
    host.count('expired', job.rule.form);
    host.log('request expired', {
      id: job.head.id,
      tookMs: Math.round(host.now() - job.arrivedMs),
      hasBegun: job.response.headersSent,
    });
    refuseJob(job.response, job.wasSent() ? 'expired' : 'expired-not-run', host.protocol);
  };

  interface Accepted {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly rule: RouteRule;
    readonly profile: ServiceProfile;
    readonly arrivedMs: number;
    readonly body: Buffer | undefined;
  }

  const createJob = (accepted: Accepted): Job => {
    const { request, response, rule, profile, arrivedMs, body } = accepted;
    let isSent = false;
    const head = host.protocol.readRequest(request.headers);
    const limitMs = Math.min(head.deadlineMs ?? DEFAULT_DEADLINE_MS, rule.timeoutMs);
    return {
      head,
      rule,
      profile,
      workspace: undefined,
      priority: rule.priority,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: request.headers,
      body,
      response,
      arrivedMs,
      isRetry: returns.isRetry(rule.name, head.deadlineMs, rule.targetMs),
      expiresMs: arrivedMs + Math.max(1, limitMs - EXPIRY_MARGIN_MS),
      markSent: () => {
        isSent = true;
      },
      wasSent: () => isSent,
      isOver: () => response.writableEnded || response.destroyed,
      onClose: (listener) => {
        response.once('close', listener);
      },
    };
  };

  return {
    handle: (request, response) => {
      active += 1;
      response.setMaxListeners(0);
      response.once('close', () => {
        active -= 1;
      });
      serve(request, response).catch((error: unknown) => {
        host.log('request failed', {
          id: host.protocol.readRequest(request.headers).id,
          error: error instanceof Error ? (error.stack ?? error.message) : String(error),
        });
        if (!response.writableEnded) refuseJob(response, 'unknown-outcome', host.protocol);
      });
    },
    active: () => active,
  };
}
