/**
 * Runs one try of a call on a backend server. If the server is silent, the try is abandoned as soon as
 * another server takes the request, and not before.
 */

import type { GatewayHost, Job } from '../../gateway/job';
import type { CallHistory } from '../../gateway/createCallHistory';
import { isServerFailure } from '../../gateway/isServerFailure';
import type { CallOutcome } from './callServer';
import { callServer } from './callServer';
import type { ChosenServer } from './findCallServer';

export interface CallTryResult {
  readonly outcome: CallOutcome;
  /** The server that the call moves to if it was abandoned. */
  readonly movedTo: ChosenServer | undefined;
}

export interface CallTryOptions {
  /** Takes a server that the call can move to, if there is one; without it, the call stays. */
  readonly takeNext: (() => ChosenServer | undefined) | undefined;
  /** Whether another VM can take the call; used where `takeNext` is given. */
  readonly isPeerAtHand: () => boolean;
}

/** Multiple of the target latency after which a silent server's call may move to another server. */
const MOVE_AFTER_TARGETS = 1.3;

/** Interval at which another server is looked for after that. */
const MOVE_INTERVAL_MS = 100;

/** Resolves when the try has ended or was abandoned. */
export async function tryCallServer(
  host: GatewayHost,
  job: Job,
  history: CallHistory,
  { server, isSuspected }: ChosenServer,
  { takeNext, isPeerAtHand }: CallTryOptions,
): Promise<CallTryResult> {
  const startedMs = host.now();
  const call = callServer(host, job, server);
  let movedTo: ChosenServer | undefined;
  let timer: NodeJS.Timeout | undefined;
  const moveOrWait = (): void => {
    const isPeerTaking = isPeerAtHand();
    movedTo = isPeerTaking ? undefined : takeNext?.();
    if (movedTo === undefined && !isPeerTaking) timer = setTimeout(moveOrWait, MOVE_INTERVAL_MS);
    else call.abandon('no answer in time');
  };
  if (takeNext !== undefined)
    timer = setTimeout(moveOrWait, job.rule.targetMs * MOVE_AFTER_TARGETS);
  const outcome = await call.end;
  clearTimeout(timer);
  const tookMs = host.now() - startedMs;
  const status = outcome.type === 'answered' ? outcome.reply.status : undefined;
  const isFailure = outcome.type !== 'stopped' && (status === undefined || isServerFailure(status));
  history.recordCall(server.id, isFailure, tookMs);
  host.log('call tried', {
    id: job.head.id,
    content: job.content,
    server: server.id,
    isSuspected,
    end: outcome.type,
    detail: 'detail' in outcome ? outcome.detail : undefined,
    status,
    movedTo: movedTo?.server.id,
    tookMs: Math.round(tookMs),
  });
  return { outcome, movedTo };
}
