/** A caller's request for one model answer, as every part of the router sees it. */

import type { ServiceId } from '../services/service';
import type { WorkspaceId } from '../workspaces/workspace';

/** Unique id of a request, made by the VM that took it in. */
export type RequestId = string;

/** Class of a request; a higher class is served first under load. */
export type Priority = 'interactive' | 'standard' | 'batch';

export interface Request {
  readonly id: RequestId;
  readonly workspace: WorkspaceId;
  readonly service: ServiceId;
  /** Prompt token ids. */
  readonly prompt: readonly number[];
  readonly maxTokens: number;
  readonly priority: Priority;
  /** When the request came in, on the VM's monotonic clock, milliseconds. */
  readonly receivedAtMs: number;
  /** When the first token is of no more use, on the VM's monotonic clock, milliseconds. */
  readonly deadlineAtMs: number;
  /** Hash of model, prompt and parameters: the same content under any id has the same one. */
  readonly fingerprint: string;
}
