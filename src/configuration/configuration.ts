/**
 * The fleet's configuration: immutable revisions under one head, each a list of changes to the one
 * before. A VM never applies a lower revision than the one it holds.
 */

import type { BackendServer } from '../backendServers/backendServer';
import type { AcceleratorKind, Engine, Model } from '../engines/engine';
import type { FailureDomain } from '../failureDomains/failureDomain';
import type { Link } from '../links/link';
import type { Service } from '../services/service';
import type { Workspace } from '../workspaces/workspace';

/** Position in the sequence of revisions; 0 is the empty configuration. */
export type RevisionNumber = number;

/** The kinds of object that a configuration holds, and their types. */
export interface Objects {
  readonly failureDomain: FailureDomain;
  readonly link: Link;
  readonly acceleratorKind: AcceleratorKind;
  readonly model: Model;
  readonly backendServer: BackendServer;
  readonly engine: Engine;
  readonly workspace: Workspace;
  readonly service: Service;
}

export type ObjectKind = keyof Objects;

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
        readonly value: Objects[Kind];
      };
    }[ObjectKind]
  | { readonly type: 'remove'; readonly kind: ObjectKind; readonly key: ObjectKey };

export interface Revision {
  readonly number: RevisionNumber;
  /** Unique id of the change, by which an ambiguous write is settled. */
  readonly changeId: string;
  readonly changes: readonly Change[];
  /** Who confirmed it. */
  readonly operator: string;
  readonly reason: string;
}

/** All objects as of one revision. */
export type Configuration = {
  readonly [Kind in ObjectKind]: ReadonlyMap<ObjectKey, Objects[Kind]>;
} & { readonly revision: RevisionNumber };
