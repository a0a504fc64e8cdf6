/**
 * The fleet's configuration: a sequence of immutable revisions up to the head, each a list of changes to
 * the previous one. A VM never applies a lower revision than the one it holds.
 */

import type { BackendServer } from '../backendServers/backendServer';
import type { AcceleratorKind, Engine, Model } from '../engines/engine';
import type { FailureDomain } from '../failureDomains/failureDomain';
import type { Link } from '../links/link';
import type { Service } from '../services/service';
import type { Workspace } from '../workspaces/workspace';

/** Position in the sequence of revisions; 0 is the empty configuration. */
export type RevisionNumber = number;

/** Type of each kind of object in a configuration. */
export interface ObjectsByKind {
  readonly failureDomain: FailureDomain;
  readonly link: Link;
  readonly acceleratorKind: AcceleratorKind;
  readonly model: Model;
  readonly backendServer: BackendServer;
  readonly engine: Engine;
  readonly workspace: Workspace;
  readonly service: Service;
}

export type ObjectKind = keyof ObjectsByKind;

/**
 * Key of an object inside its kind: its id; `from/to` for a link; `workspace/id` for a service.
 */
export type ObjectKey = string;

/** Sets or removes one object. */
export type Change =
  | {
      readonly [Kind in ObjectKind]: {
        readonly type: 'put';
        readonly kind: Kind;
        readonly key: ObjectKey;
        readonly value: ObjectsByKind[Kind];
      };
    }[ObjectKind]
  | { readonly type: 'remove'; readonly kind: ObjectKind; readonly key: ObjectKey };

export interface Revision {
  readonly number: RevisionNumber;
  /** Unique id of the change; resolves whether an ambiguous write was committed. */
  readonly changeId: string;
  readonly changes: readonly Change[];
  /** Operator who confirmed the change. */
  readonly operator: string;
  readonly reason: string;
}

/** All objects as of one revision. */
export type Configuration = {
  readonly [Kind in ObjectKind]: ReadonlyMap<ObjectKey, ObjectsByKind[Kind]>;
} & { readonly revision: RevisionNumber };
