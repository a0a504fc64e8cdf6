/** Router state of one running request. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { ModelId } from '../engines/engine';
import type { Route } from '../pipelines/route';
import type { Request } from './request';
import type { TokenList } from './tokenList';
import type { AttemptNumber } from './tokenFrame';

/**
 * `streaming`: a stream is open for the current attempt. `finding-kv`: the last attempt is superseded
 * and its stages are queried for the KV cache that they kept. `waiting`: the next attempt is delayed.
 */
export type Phase = 'streaming' | 'finding-kv' | 'waiting';

export interface RunningRequest {
  readonly request: Request;
  readonly model: ModelId;
  /** Layers of the model; receipts must tile `[0, layers)`. */
  readonly layers: number;
  readonly phase: Phase;
  readonly attempt: AttemptNumber;
  /** Route of the current attempt, or of the previous one while the next is prepared. */
  readonly route: Route;
  readonly delivered: TokenList | undefined;
  /** Number of tokens delivered, which is also the next position. */
  readonly deliveredCount: number;
  /** Number of tokens delivered in earlier attempts. */
  readonly deliveredBefore: number;
  readonly openedAtMs: number;
  /** Time of the last accepted frame, or of opening the stream. */
  readonly progressAtMs: number;
  /** Moving average of the token interval and its mean deviation, milliseconds; 0 when unknown. */
  readonly meanTokenIntervalMs: number;
  readonly tokenIntervalDeviationMs: number;
  /** Expected time to the first token of this attempt, milliseconds. */
  readonly expectedFirstTokenMs: number;
  /** Engines that failed this request; later attempts exclude them. */
  readonly avoided: readonly BackendServerId[];
  /** Engines that produced tokens for it in earlier attempts. */
  readonly provenEngines: readonly BackendServerId[];
  /** Whether a query to the engines of a stalled stream is pending. */
  readonly isQueryingStages: boolean;
  /** Engines of which at least one stalled the last attempt, the most likely first. */
  readonly stallCandidates: readonly BackendServerId[];
  /** Whether the current attempt runs as a suspect, apart from other suspects; it is not retried. */
  readonly isIsolated: boolean;
  /** Time at which it began to wait as a suspect, milliseconds. */
  readonly waitingSinceMs: number;
  /** False while it is certain that no attempt executed any work. */
  readonly mayHaveRun: boolean;
  /** True once an engine is known to have executed work for it. */
  readonly hasRun: boolean;
}
