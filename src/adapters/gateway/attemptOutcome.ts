/** How one attempt at a stream ends. */

import type { ServerReply } from './callServer';

export type AttemptOutcome =
  /** `isFramed` if the reply stated where it ends. */
  | { readonly type: 'complete'; readonly isFramed: boolean }
  /** The engine answered with a failure, which is final. */
  | { readonly type: 'answered'; readonly reply: ServerReply }
  /** The chain reports that it did not run the request. */
  | { readonly type: 'not-run'; readonly fault: string | undefined; readonly detail: string }
  | { readonly type: 'unreached'; readonly detail: string; readonly isRefused?: boolean }
  /** The request ran in part, or may have; `isLost` if the connection ended before the answer did. */
  | {
      readonly type: 'broken';
      readonly detail: string;
      readonly isOversized?: boolean;
      readonly isLost?: boolean;
    }
  /** Another attempt of the same stream spoke first; this one may have run. */
  | { readonly type: 'overtaken' }
  /** The caller left or the deadline passed. */
  | { readonly type: 'stopped' };
