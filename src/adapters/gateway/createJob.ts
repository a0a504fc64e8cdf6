/** Describes a caller's request that was read in full, and follows it until its work ends. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RouteRule, ServiceProfile } from '../../catalog/catalog';
import { listContents } from '../../crashes/listContents';
import type { RequestHead } from '../../gateway/backendProtocol';
import type { ForwardedRequest } from '../../gateway/forwardedRequest';
import type { Job } from '../../gateway/job';
import { fingerprintContent } from '../../hashing/fingerprintContent';

export interface AcceptedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: RequestHead;
  readonly rule: RouteRule;
  readonly profile: ServiceProfile;
  readonly workspace: string | undefined;
  /** Monotonic, milliseconds. */
  readonly arrivedMs: number;
  /** Estimated time that the request waited for the processor before it was read, milliseconds. */
  readonly readDelayMs: number;
  readonly body: Buffer | undefined;
  readonly catalogVersion: number;
  readonly forwarded: ForwardedRequest | undefined;
  readonly isRetry: boolean;
}

/** Deadline of a request for which the caller sets none; the route's timeout still applies. */
const DEFAULT_DEADLINE_MS = 30_000;

/** A response sent closer than this to the deadline would reach the caller too late. */
const EXPIRY_MARGIN_MS = 10;

/** Length of a content's fingerprint: short, as VMs exchange it, and too long to be met by chance. */
const CONTENT_CHARS = 24;

/** @returns the time that a request may take, milliseconds */
export function computeTimeLimit(
  deadlineMs: number | undefined,
  { timeoutMs }: Pick<RouteRule, 'timeoutMs'>,
): number {
  return Math.min(deadlineMs ?? DEFAULT_DEADLINE_MS, timeoutMs);
}

export function createJob(accepted: AcceptedRequest): Job {
  const { request, response, head, rule, profile, workspace, body } = accepted;
  const { arrivedMs, readDelayMs } = accepted;
  const { method = 'GET', url = '/', headers } = request;
  const content = fingerprintContent([headers.host, method, url, workspace], body).slice(
    0,
    CONTENT_CHARS,
  );
  const { sharedParts } = head;
  const limitMs = computeTimeLimit(head.deadlineMs, rule);
  let isSent = false;
  let isClosed = false;
  const closeListeners: (() => void)[] = [];
  const close = (): void => {
    isClosed = true;
    for (const listener of closeListeners.splice(0)) listener();
  };
  response.once('close', close);
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
    readDelayMs,
    forwarded: accepted.forwarded,
    catalogVersion: accepted.catalogVersion,
    isRetry: accepted.isRetry,
    expiresMs: arrivedMs + Math.max(1, limitMs - EXPIRY_MARGIN_MS),
    markSent: () => {
      isSent = true;
    },
    wasSent: () => isSent,
    isOver: () => response.writableEnded || response.destroyed,
    onClose: (listener) => {
      if (isClosed) listener();
      else closeListeners.push(listener);
    },
    cancel: close,
  };
}
