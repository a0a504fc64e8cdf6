/** A VM's configuration state: the applied revision, the highest known one and the fetch in progress. */

import type { List } from 'immutable';
import type { Configuration, Revision, RevisionNumber } from './configuration';

/** Source and start time of the fetch in progress. */
export type ConfigurationFetch =
  | { readonly type: 'none' }
  | { readonly type: 'peer'; readonly startedAtMs: number }
  | { readonly type: 'table'; readonly startedAtMs: number }
  | { readonly type: 'snapshot'; readonly startedAtMs: number };

/** A snapshot that is being received from a peer in chunks. */
export interface PartialSnapshot {
  /** Revision of the first chunk; later revisions are applied after the last chunk. */
  readonly baseRevision: RevisionNumber;
  /** Highest revision of any chunk; the snapshot is inconsistent until this revision is applied. */
  readonly targetRevision: RevisionNumber;
  /** `kind/key` of the last object received. */
  readonly after: string;
  /** Whether the last chunk has been received. */
  readonly isComplete: boolean;
  /** The objects so far, numbered `baseRevision`; not yet consistent. */
  readonly configuration: Configuration;
}

export interface ConfigurationState {
  readonly applied: Configuration;
  /** The last revisions up to `applied`, in ascending order; at most `MAX_RECENT_REVISIONS`. */
  readonly recentRevisions: List<Revision>;
  /** Highest revision known from the table or from a peer. */
  readonly head: RevisionNumber;
  readonly fetch: ConfigurationFetch;
  readonly partial: PartialSnapshot | undefined;
  readonly nextPollAtMs: number;
  /** Whether a read of the head row is in progress. */
  readonly isPolling: boolean;
  readonly polledAtMs: number;
  /** Highest revision that every VM that may serve has acknowledged. */
  readonly accepted: RevisionNumber;
  /** Text of the last `configuration-pending` effect, so that only changes produce another. */
  readonly told: string;
}
