/** What the router keeps of one request while it runs. */

import type { BackendServerId } from '../backendServers/backendServer';
import type { ModelId } from '../engines/engine';
import type { Route } from '../pipelines/route';
import type { Request } from './request';
import type { TokenList } from './tokenList';
import type { AttemptNumber } from './tokenFrame';

/**
 * `streaming`: a stream is open for the current attempt. `finding-kv`: the last attempt is shut out
 * and its stages are asked for what they kept. `waiting`: the next attempt has to wait for its turn.
 */
export type Phase = 'streaming' | 'finding-kv' | 'waiting';

export interface RunningRequest {
  readonly request: Request;
  readonly model: ModelId;
  /** Layers of the model; receipts must tile `[0, layers)`. */
  readonly layers: number;
  readonly phase: Phase;
  readonly attempt: AttemptNumber;
  /** Route of the current attempt, or of the last one while the next is prepared. */
  readonly route: Route;
  readonly delivered: TokenList | undefined;
  /** Tokens delivered, which is also the next position. */
  readonly deliveredCount: number;
  /** Tokens delivered in earlier attempts. */
  readonly deliveredBefore: number;
  readonly openedAtMs: number;
  /** When the last accepted frame came, or the stream was opened. */
  readonly progressAtMs: number;
  /** Recent mean time between two tokens and its mean deviation, milliseconds; 0 when unknown. */
  readonly paceMs: number;
  readonly paceDeviationMs: number;
  /** Time within which the first token of this attempt is expected, milliseconds. */
  readonly expectedFirstMs: number;
  /** Engines that failed this request; no later attempt uses them. */
  readonly avoided: readonly BackendServerId[];
  /** Engines that brought tokens of it in earlier attempts. */
  readonly proven: readonly BackendServerId[];
  /** Whether the engines of a silent stream are being asked if they are there. */
  readonly isAsking: boolean;
  /** Engines of which one stalled the last attempt, the likeliest first. */
  readonly doubted: readonly BackendServerId[];
  /** True where the current attempt runs as a suspect; it is the last one. */
  readonly isAlone: boolean;
  /** When it began to wait for its turn as a suspect, milliseconds. */
  readonly waitsSinceMs: number;
  /** False while every attempt so far provably ran nothing. */
  readonly mayHaveRun: boolean;
  /** True once an engine is known to have worked on it. */
  readonly hasRun: boolean;
}
