/** The connection to one caller that receives a model's answer. */

import type { Refusal } from '../outcomes/outcome';
import type { TokenFrame } from '../requests/tokenFrame';

export interface CallerStream {
  readonly deliver: (frame: TokenFrame) => void;
  readonly finish: (finish: 'stop' | 'length') => void;
  /** Sends a problem document, or an error event if tokens were already sent. */
  readonly refuse: (refusal: Refusal) => void;
}

/** Why this VM ended a caller's stream early. */
export type CallerFault = 'slow-reader' | 'wrong-delivery';
