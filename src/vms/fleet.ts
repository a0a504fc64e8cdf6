/** State of the fleet side of one VM. */

import type { Map as ImmutableMap } from 'immutable';
import type { ConfigurationState } from '../configuration/configurationState';
import type { Decision } from '../decisions/decision';
import type { Suspect, WorkspaceUsage } from '../requests/routerMessage';
import type { WorkspaceId } from '../workspaces/workspace';
import type { FleetEffect } from './fleetMessage';
import type { Membership } from './membership';
import type { Servers } from './serverRecord';
import type { Address, Vm } from './vm';

/** Options of `createFleet`. */
export interface FleetOptions {
  /** Time for which an answer with addresses is valid, milliseconds. */
  readonly answerValidMs?: number;
}

export interface KnownSuspect {
  readonly suspect: Suspect;
  readonly crashedAtMs: number;
  /** How many more times it is sent. */
  readonly sendsLeft: number;
}

/** Usage of one workspace on one VM, as reported to the aggregator. */
export interface ReportedUsage {
  readonly use: WorkspaceUsage;
  readonly atMs: number;
}

/** Suspect contents and usage of workspaces, shared between VMs. */
export interface Sharing {
  readonly suspects: ImmutableMap<string, KnownSuspect>;
  /** This VM's own usage, to be reported. */
  readonly ownUsage: ImmutableMap<WorkspaceId, WorkspaceUsage>;
  /** Keyed by `workspace`, then by VM; held by the workspace's aggregator. */
  readonly reported: ImmutableMap<WorkspaceId, ImmutableMap<string, ReportedUsage>>;
  readonly nextUsageReportAtMs: number;
  /** Index of the group of workspaces to report first in the next period. */
  readonly nextUsageGroup: number;
}

/** Whether this VM accepts new requests, and why not. */
export interface Availability {
  readonly isAccepting: boolean;
  readonly reason: string;
  /** When this VM started or resumed after a pause; earlier contact does not count, milliseconds. */
  readonly resumedAtMs: number;
  /** Probes and reads with a lower nonce were sent before it resumed: their answers prove nothing. */
  readonly minValidNonce: number;
  /** Whether anything sent since it resumed was answered; until then all received data may be stale. */
  readonly hasFreshAnswer: boolean;
  /** When a peer last sent a datagram while `hasFreshAnswer` held; -Infinity for never. */
  readonly peerLastSeenAtMs: number;
  readonly storeLastSeenAtMs: number;
  /** Since when the VM knows of a later revision than it has applied; Infinity if it knows of none. */
  readonly behindSinceMs: number;
  /** Whether a VM with this id and a higher incarnation was seen. */
  readonly isSuperseded: boolean;
}

export interface Drain {
  /** When the last answer that named this VM expires, milliseconds. */
  readonly addressesExpireAtMs: number;
  /** Requests and operations still running, counted after new ones are refused; undefined before. */
  readonly running: number | undefined;
  readonly isDone: boolean;
}

export interface Fleet {
  readonly options: Required<FleetOptions>;
  readonly vm: Vm;
  readonly seeds: readonly Address[];
  readonly isStarted: boolean;
  readonly startedAtMs: number;
  /** Time of the last event, milliseconds. */
  readonly clockMs: number;
  readonly membership: Membership;
  readonly configuration: ConfigurationState;
  readonly servers: Servers;
  readonly sharing: Sharing;
  readonly availability: Availability;
  /** Undefined while the VM is not draining. */
  readonly drain: Drain | undefined;
}

/** One step of a decision of the fleet side. */
export type FleetDecision = Decision<Fleet, FleetEffect>;
