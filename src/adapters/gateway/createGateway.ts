/**
 * Receives callers' requests: finds the route, the workspace and the service, and passes each request to
 * the handler for its form of answer. Refuses requests as not run while this VM cannot know that its
 * catalog is current.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { authorize } from '../../catalog/authorize';
import type { AnswerForm, Catalog, RouteRule, ServiceProfile } from '../../catalog/catalog';
import { listContents } from '../../crashes/listContents';
import { matchRoute } from '../../catalog/matchRoute';
import { pickService } from '../../catalog/pickService';
import { fingerprint } from '../../hashing/fingerprint';
import type { ForwardedRequest } from '../../gateway/forwardedRequest';
import { decodeForwardedRequest, FORWARDED_HEADER } from '../../gateway/forwardedRequest';
import { createCallHistory } from '../../gateway/createCallHistory';
import { createAdmissionQueue } from './createAdmissionQueue';
import { createRetryDetector } from '../../gateway/createRetryDetector';
import type { GatewayHost, Job } from '../../gateway/job';
import { ELSEWHERE } from './openPeerExchange';
import { readRequestBody } from './readRequestBody';
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
}

export interface GatewayOptions {
  readonly host: GatewayHost;
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
}

/** Deadline of a request for which the caller sets none; the route's timeout still applies. */
const DEFAULT_DEADLINE_MS = 30_000;

/** Delay after which the caller may retry at another VM. */
const PEER_RETRY_MS = 50;

/** Delay before a retry where no VM accepts callers, for instance while the store is unreachable. */
const NO_PEER_RETRY_MS = 1_500;

/** A response sent closer than this to the deadline would reach the caller too late. */
const EXPIRY_MARGIN_MS = 10;

/** Length of a content's fingerprint: short, as VMs exchange it, and too long to be met by chance. */
const CONTENT_CHARS = 24;

type JobHandler = (host: GatewayHost, job: Job) => Promise<void>;

/** Creates the gateway. The owner listens on a socket and passes requests to `handle`. */
export function createGateway(options: GatewayOptions): Gateway {
  const { host, catalog, isConfirmed, isClosing, isDraining, hasPeers } = options;
  const history = createCallHistory(host.now);
  const queue = createAdmissionQueue(host.now);
  const retryDetector = createRetryDetector();
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

  const serve = async (
    request: IncomingMessage,
    response: ServerResponse,
    forwarded?: ForwardedRequest,
  ): Promise<void> => {
    const arrivedMs = host.now();
    const retryAfterMs = hasPeers() ? PEER_RETRY_MS : NO_PEER_RETRY_MS;
    const retryOptions = { retryAfterMs, isLast: true };
    if (isDraining()) response.setHeader('connection', 'close');
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
    const read = await readRequestBody(request, currentCatalog.limits.maxBodyBytes);
    if (read.type === 'too-large') refuse(request, response, 'too-large', { isLast: true });
    if (read.type !== 'whole') return;
    const service = pickService(rule, head.id);
    const profile = currentCatalog.services.get(service ?? '');
    if (profile === undefined) {
      refuse(request, response, 'not-run', { retryAfterMs: PEER_RETRY_MS });
      return;
    }
    const workspace = access.credential?.workspace;
    const { body } = read;
    const { version: catalogVersion } = currentCatalog;
    const accepted = { request, response, rule, profile, workspace, arrivedMs, body };
    const job = createJob({ ...accepted, catalogVersion, forwarded });
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

  interface AcceptedRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly rule: RouteRule;
    readonly profile: ServiceProfile;
    readonly workspace: string | undefined;
    readonly arrivedMs: number;
    readonly body: Buffer | undefined;
    readonly catalogVersion: number;
    readonly forwarded: ForwardedRequest | undefined;
  }

  const createJob = (accepted: AcceptedRequest): Job => {
    const { request, response, rule, profile, workspace, arrivedMs, body, forwarded } = accepted;
    let isSent = false;
    const head = host.protocol.readRequest(request.headers);
    const { method = 'GET', url = '/', headers } = request;
    const bodyText = body?.toString('latin1');
    const content = fingerprint([headers.host, method, url, workspace, bodyText]).slice(
      0,
      CONTENT_CHARS,
    );
    const { sharedParts } = head;
    const limitMs = Math.min(head.deadlineMs ?? DEFAULT_DEADLINE_MS, rule.timeoutMs);
    return {
      head,
      rule,
      profile,
      workspace,
      priority: rule.priority,
      method,
      path: url,
      headers,
      body,
      content,
      contents: listContents({ request: content, service: profile.name, sharedParts }),
      response,
      arrivedMs,
      forwarded,
      catalogVersion: accepted.catalogVersion,
      isRetry:
        forwarded?.isRetry ?? retryDetector.isRetry(rule.name, head.deadlineMs, rule.targetMs),
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

  const handle = (
    request: IncomingMessage,
    response: ServerResponse,
    forwarded?: ForwardedRequest,
  ): void => {
    active += 1;
    response.setMaxListeners(0);
    response.once('close', () => {
      active -= 1;
    });
    serve(request, response, forwarded).catch((error: unknown) => {
      host.log('request failed', {
        id: host.protocol.readRequest(request.headers).id,
        error: error instanceof Error ? (error.stack ?? error.message) : String(error),
      });
      if (!response.writableEnded) refuseJob(response, 'unknown-outcome', host.protocol);
    });
  };
  /** Whether this VM can decide on a request that another VM has accepted. */
  const canServe = ({ catalogVersion }: ForwardedRequest): boolean =>
    !isClosing() &&
    isConfirmed() &&
    !host.partition.isPartitioned() &&
    (catalog()?.version ?? -1) >= catalogVersion;
  return {
    handle: (request, response) => {
      handle(request, response);
    },
    handleForwarded: (request, response) => {
      const { [FORWARDED_HEADER]: text, ...headers } = request.headers;
      const forwarded = decodeForwardedRequest(String(text));
      request.headers = headers;
      if (forwarded !== undefined && canServe(forwarded)) handle(request, response, forwarded);
      else refuse(request, response, ELSEWHERE, { isLast: true });
    },
    active: () => active,
  };
}
