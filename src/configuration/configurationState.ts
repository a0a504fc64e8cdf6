/** How one VM stands with the configuration: what it has in force, knows of and waits for. */

import type { List } from 'immutable';
import type { Configuration, Revision, RevisionNumber } from './configuration';

/** A fetch that is under way. */
export type ConfigurationFetch =
  | { readonly type: 'none' }
  | { readonly type: 'peer'; readonly startedAtMs: number }
  | { readonly type: 'table'; readonly startedAtMs: number }
  | { readonly type: 'snapshot'; readonly startedAtMs: number };

/** A snapshot that comes from a peer in chunks. */
export interface PartialSnapshot {
  /** Revision of the first chunk; the revisions after it are applied again at the end. */
  readonly base: RevisionNumber;
  /** Highest revision of any chunk: short of it the snapshot is not consistent. */
  readonly until: RevisionNumber;
  /** `kind/key` of the last object that came. */
  readonly after: string;
  /** Whether the last chunk has come. */
  readonly isComplete: boolean;
  /** Numbered `base`, but not yet consistent. */
  readonly configuration: Configuration;
}

export interface ConfigurationState {
  readonly applied: Configuration;
  /** The revisions that led to `applied`, newest last; bounded. */
  readonly kept: List<Revision>;
  /** Highest revision that anyone named. */
  readonly head: RevisionNumber;
  readonly fetch: ConfigurationFetch;
  readonly partial: PartialSnapshot | undefined;
  readonly nextPollAtMs: number;
  /** Whether a read of the head row is under way. */
  readonly isPolling: boolean;
  readonly polledAtMs: number;
  /** Highest revision that every VM that may serve has acknowledged. */
  readonly accepted: RevisionNumber;
  /** What `configuration-pending` last told, to tell only of changes. */
  readonly told: string;
}
