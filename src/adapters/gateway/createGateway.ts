/**
 * Receives callers' requests: finds the route, the workspace and the service, and passes each request to
 * the handler for its form of answer. Refuses requests as not run while this VM cannot know that its
 * catalog is current.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { authorize } from '../../catalog/authorize';
import type { AnswerForm, Catalog } from '../../catalog/catalog';
import { matchRoute } from '../../catalog/matchRoute';
import { pickService } from '../../catalog/pickService';
import type { ForwardedRequest } from '../../gateway/forwardedRequest';
import { decodeForwardedRequest, FORWARDED_HEADER } from '../../gateway/forwardedRequest';
import { createCallHistory } from '../../gateway/createCallHistory';
import { createAdmissionQueue } from './createAdmissionQueue';
import { computeTimeLimit, createJob } from './createJob';
import { createRetryDetector } from '../../gateway/createRetryDetector';
import type { GatewayHost, Job } from '../../gateway/job';
import { createOverloadRefusal } from '../overload/createOverloadRefusal';
import { closeWithConnection } from '../intake/closeWithConnection';
import { hasCallerLeft } from '../overload/hasCallerLeft';
import { ELSEWHERE } from './openPeerExchange';
import type { BodyBound, BodyIntake } from '../intake/createBodyIntake';
import type { WorkLimit } from '../../overload/createWorkLimit';
import { isAmbiguous } from '../intake/isAmbiguous';
import { refuseRequest } from '../intake/refuseRequest';
import { refuseJob } from './refuseJob';
import type { RefusalOptions, RefusalReason } from './refuseJob';
import { serveCall } from './serveCall';
import { serveStream } from './serveStream';

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

export interface Gateway {
  /** Handles a caller's request. */
  readonly handle: RequestHandler;
  /** Handles a request that another VM took from its caller. */
  readonly handleForwarded: RequestHandler;
  /** Number of requests whose response has not ended. */
  readonly active: () => number;
  /** Answers all requests that have no answer yet, as the process is about to end. */
  readonly giveUpAll: () => void;
}

export interface GatewayOptions {
  readonly host: GatewayHost;
  readonly intake: BodyIntake;
  /** Undefined before the first catalog is known. */
  readonly catalog: () => Catalog | undefined;
  /** Whether the catalog was confirmed recently as the current one. */
  readonly isConfirmed: () => boolean;
  /** Whether new requests are refused because the VM is about to stop. */
  readonly isClosing: () => boolean;
  /** Whether another VM accepts callers. */
  readonly hasPeers: () => boolean;
  /** Whether connections close after their next answer. */
  readonly isDraining: () => boolean;
  /** Decides whether a further request is served; without it, all are. */
  readonly workLimit?: Pick<WorkLimit, 'admit' | 'begin' | 'retryAfterMs'>;
  /** Estimated time that a request which is read now has waited for the processor, milliseconds. */
  readonly readDelayMs?: (request: IncomingMessage) => number;
}

/** Delay after which the caller may retry at another VM. */
const PEER_RETRY_MS = 50;

/** Delay before a retry where no VM accepts callers, for instance while the store is unreachable. */
const NO_PEER_RETRY_MS = 1_500;

/** Wait of a request from which its caller may have left meanwhile, milliseconds. */
const MIN_LEAVING_MS = 5;

/** Refusals of bodies that have met a bound. */
const BODY_REFUSALS: Readonly<Record<BodyBound, RefusalReason>> = {
  'too-large': 'too-large',
  'too-slow': 'too-slow',
  'no-memory': 'not-run',
  'too-many-pieces': 'not-run',
};

type JobHandler = (host: GatewayHost, job: Job) => Promise<void>;

/** Creates the gateway. The owner listens on a socket and passes requests to `handle`. */
export function createGateway(options: GatewayOptions): Gateway {
  const { host, intake, catalog, isConfirmed, isClosing, isDraining, hasPeers, workLimit } =
    options;
  const history = createCallHistory(host.now);
  const queue = createAdmissionQueue(host.now);
  const retryDetector = createRetryDetector();
  const refuseOverload = createOverloadRefusal(host);
  const admits = ({ socket }: IncomingMessage) => workLimit?.admit(socket) !== false;
  host.registry.onChange(queue.wake);
  const handlers: Readonly<Record<AnswerForm, JobHandler>> = {
    call: (gateway, job) => serveCall(gateway, job, history),
    stream: (gateway, job) => serveStream(gateway, job, queue),
  };
  /** Requests whose response has not ended; undefined until the request is read. */
  const open = new Map<ServerResponse, Job | undefined>();

  const refuse = (
    request: IncomingMessage,
    response: ServerResponse,
    reason: RefusalReason,
    refusal: RefusalOptions & { readonly bound?: BodyBound } = {},
  ): void => {
    const { protocol } = host;
    const { id } = protocol.readRequest(request.headers);
    const { bound, ...options } = refusal;
    host.count('refusals', reason);
    host.log('request refused', { id, reason, bound, path: request.url });
    refuseRequest(request, response, { ...options, reason, protocol });
  };

  const serve = async (
    request: IncomingMessage,
    response: ServerResponse,
    forwarded?: ForwardedRequest,
  ): Promise<void> => {
    const delayMs = options.readDelayMs?.(request) ?? 0;
    const arrivedMs = host.now() - delayMs;
    host.observe('read_delay', delayMs);
    if (isAmbiguous(request, host.protocol.singleFields)) {
      refuse(request, response, 'malformed', { isLast: true });
      return;
    }
    const retryAfterMs = hasPeers() ? PEER_RETRY_MS : NO_PEER_RETRY_MS;
    const retryOptions = { retryAfterMs, isLast: true };
    const currentCatalog = catalog();
    if (currentCatalog === undefined || isClosing()) {
      refuse(request, response, 'not-run', retryOptions);
      return;
    }
    const rule = matchRoute(currentCatalog, request.headers.host ?? '', request.url ?? '');
    if (!isConfirmed() && rule?.isPublic !== true) {
      refuse(request, response, 'not-run', retryOptions);
      return;
    }
    if (rule === undefined) {
      refuse(request, response, 'no-route');
      return;
    }
    const head = host.protocol.readRequest(request.headers);
    const access = authorize(currentCatalog, rule, head.authorization);
    if (access.type === 'denied') {
      refuse(request, response, 'no-credential');
      return;
    }
    response.once('close', () => {
      intake.release(request);
    });
    const { maxBodyBytes: maxBytes, idleTimeoutMs: maxPauseMs } = currentCatalog.limits;
    const workspace = access.credential?.workspace;
    const read = await intake.receive(request, {
      maxBytes,
      maxPauseMs,
      source: `${workspace ?? ''} ${request.socket.remoteAddress ?? ''}`,
      expiresInMs: computeTimeLimit(head.deadlineMs, rule),
    });
    if (read.type === 'refused') {
      host.count('refused_bodies', read.bound);
      refuse(request, response, BODY_REFUSALS[read.bound], { ...retryOptions, bound: read.bound });
    }
    if (read.type !== 'whole' || response.destroyed) return;
    if (workLimit !== undefined) response.once('close', workLimit.begin(request.socket));
    if (delayMs >= MIN_LEAVING_MS && (await hasCallerLeft(request))) {
      host.count('unserved', 'caller-left');
      response.destroy();
      return;
    }
    if (host.now() - arrivedMs >= computeTimeLimit(head.deadlineMs, rule)) {
      refuse(request, response, 'expired-not-run', { isLast: true });
      return;
    }
    const service = pickService(rule, head.id);
    const profile = currentCatalog.services.get(service ?? '');
    if (profile === undefined) {
      refuse(request, response, 'not-run', { retryAfterMs: PEER_RETRY_MS });
      return;
    }
    const { body } = read;
    const { version: catalogVersion } = currentCatalog;
    if (isClosing()) {
      refuse(request, response, 'not-run', retryOptions);
      return;
    }
    const accepted = { request, response, rule, profile, workspace, arrivedMs, body };
    const job = createJob({
      ...accepted,
      readDelayMs: delayMs,
      head,
      catalogVersion,
      forwarded,
      isRetry:
        forwarded?.isRetry ?? retryDetector.isRetry(rule.name, head.deadlineMs, rule.targetMs),
    });
    if (open.has(response)) open.set(response, job);
    host.contentSuspicions.recordArrival(job.contents);
    const heldMs = host.contentSuspicions.heldMs(job.contents);
    if (heldMs > 0) {
      refuse(request, response, 'held-back', { retryAfterMs: heldMs });
      return;
    }
    const expiry = setTimeout(() => {
      expire(job);
    }, job.expiresMs - host.now());
    response.once('close', () => {
      clearTimeout(expiry);
    });
    const priority = access.credential?.priority ?? rule.priority;
    await handlers[rule.form](host, { ...job, priority });
    // What still runs for it, such as a second attempt, must not write behind the answer.
    job.cancel();
  };

  const expire = (job: Job): void => {
    // An answer that its caller has not taken yet stays on its way.
    if (job.isOver()) return;
    host.count('expired', job.rule.form);
    host.log('request expired', {
      id: job.head.id,
      tookMs: Math.round(host.now() - job.arrivedMs),
      readDelayMs: Math.round(job.readDelayMs),
      hasBegun: job.response.headersSent,
    });
    refuseJob(job.response, job.wasSent() ? 'expired' : 'expired-not-run', host.protocol);
    job.cancel();
  };

  const giveUp = (response: ServerResponse, job: Job | undefined): void => {
    if (response.writableEnded || response.destroyed) return;
    if (job === undefined && response.headersSent) {
      // Refused already; only its connection is still open.
      response.destroy();
      return;
    }
    const reason = job?.wasSent() === true ? 'unknown-outcome' : 'not-run';
    host.count('refusals', reason);
    host.log('request given up', { id: job?.head.id, reason, hasBegun: response.headersSent });
    refuseJob(response, reason, host.protocol, { retryAfterMs: PEER_RETRY_MS, isLast: true });
    job?.cancel();
  };

  const handle = (
    request: IncomingMessage,
    response: ServerResponse,
    forwarded?: ForwardedRequest,
  ): void => {
    open.set(response, undefined);
    closeWithConnection(request, response);
    response.once('close', () => {
      open.delete(response);
    });
    serve(request, response, forwarded).catch((error: unknown) => {
      host.log('request failed', {
        id: host.protocol.readRequest(request.headers).id,
        error: error instanceof Error ? (error.stack ?? error.message) : String(error),
      });
      if (!response.writableEnded) refuseJob(response, 'unknown-outcome', host.protocol);
    });
  };
  const closeIfDraining = (response: ServerResponse): void => {
    if (isDraining()) response.setHeader('connection', 'close');
  };
  /** Whether this VM can decide on a request that another VM has accepted. */
  const canServe = ({ catalogVersion }: ForwardedRequest): boolean =>
    !isClosing() &&
    isConfirmed() &&
    !host.partition.isPartitioned() &&
    (catalog()?.version ?? -1) >= catalogVersion;
  return {
    handle: (request, response) => {
      // Requests that were read with those for which their connection has been closed.
      if (request.socket.destroyed) return;
      closeIfDraining(response);
      if (admits(request)) handle(request, response);
      else refuseOverload(request, response, workLimit?.retryAfterMs() ?? PEER_RETRY_MS);
    },
    handleForwarded: (request, response) => {
      const { [FORWARDED_HEADER]: text, ...headers } = request.headers;
      const forwarded = decodeForwardedRequest(String(text));
      request.headers = headers;
      closeIfDraining(response);
      const mayServe = forwarded !== undefined && canServe(forwarded);
      if (mayServe && admits(request)) handle(request, response, forwarded);
      else refuse(request, response, ELSEWHERE, { isLast: true });
    },
    active: () => open.size,
    giveUpAll: () => {
      for (const [response, job] of open) giveUp(response, job);
    },
  };
}
