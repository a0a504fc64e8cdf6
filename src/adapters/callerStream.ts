/** One caller who waits for a model's answer. */

import type { Refusal } from '../outcomes/outcome';
import type { TokenFrame } from '../requests/tokenFrame';

export interface CallerStream {
  readonly deliver: (frame: TokenFrame) => void;
  readonly finish: (finish: 'stop' | 'length') => void;
  /** Ends with a problem document, or with an error event where tokens were delivered. */
  readonly refuse: (refusal: Refusal) => void;
}

/** Why a stream was ended on this VM's side of the caller's connection. */
export type CallerFault = 'slow-reader' | 'wrong-delivery';
