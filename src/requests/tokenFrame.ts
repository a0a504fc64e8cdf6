/**
 * The message that carries one token back from the engines, with a receipt from every stage that ran
 * layers for it.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { LayerRange } from '../engines/engine';
import type { WorkspaceId } from '../workspaces/workspace';
import type { RequestId } from './request';

/** Number of an attempt, from 1; a later attempt supersedes earlier ones, whose frames are dropped. */
export type AttemptNumber = number;

/** A stage's confirmation that it ran these layers for this token. */
export interface Receipt {
  readonly engine: BackendServerId;
  readonly layers: LayerRange;
  readonly attempt: AttemptNumber;
  readonly position: number;
}

export interface TokenFrame {
  readonly request: RequestId;
  readonly workspace: WorkspaceId;
  readonly attempt: AttemptNumber;
  /** Position in the answer, from 0. */
  readonly position: number;
  readonly token: number;
  readonly text: string;
  readonly receipts: readonly Receipt[];
  /** Set on the last frame of an answer. */
  readonly finish?: 'stop' | 'length';
}
