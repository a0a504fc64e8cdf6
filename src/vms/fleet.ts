/** The whole state of the fleet side of one VM. */

import type { Map as ImmutableMap } from 'immutable';
import type { ConfigurationState } from '../configuration/configurationState';
import type { Decision } from '../decisions/decision';
import type { Suspect, WorkspaceUse } from '../requests/routerMessage';
import type { WorkspaceId } from '../workspaces/workspace';
import type { FleetEffect } from './fleetMessage';
import type { Membership } from './membership';
import type { Servers } from './serverRecord';
import type { Address, Vm } from './vm';

/** What a fleet side may be told at its making. */
export interface FleetOptions {
  /** Time for which an answer with addresses stays good, milliseconds. */
  readonly answerValidMs?: number;
}

export interface KnownSuspect {
  readonly suspect: Suspect;
  readonly crashedAtMs: number;
  /** Sends left. */
  readonly sendsLeft: number;
}

/** Use of one workspace on one VM, as it came to the VM that sums it. */
export interface ReportedUsage {
  readonly use: WorkspaceUse;
  readonly atMs: number;
}

/** Suspect contents and use of workspaces. */
export interface Sharing {
  readonly suspects: ImmutableMap<string, KnownSuspect>;
  /** This VM's own use, not yet reported. */
  readonly ownUsage: ImmutableMap<WorkspaceId, WorkspaceUse>;
  /** Keyed by `workspace`, then by VM; kept by the VM that sums the workspace. */
  readonly reported: ImmutableMap<WorkspaceId, ImmutableMap<string, ReportedUsage>>;
  readonly nextUsageReportAtMs: number;
  /** Where the reports to summing VMs go on. */
  readonly nextUsageGroup: number;
}

/** Whether this VM takes new work, and why not. */
export interface Availability {
  readonly isAccepting: boolean;
  readonly reason: string;
  /** When this VM started or woke from a pause; earlier word does not count, milliseconds. */
  readonly resumedAtMs: number;
  /** Probes and reads with a lower nonce were sent before it woke: their answers prove nothing. */
  readonly minValidNonce: number;
  /** Whether an answer to something sent since it woke has come; before that all word may be old. */
  readonly hasFreshAnswer: boolean;
  /** When a peer was last heard, awake; -Infinity for never. */
  readonly peerLastSeenAtMs: number;
  readonly storeLastSeenAtMs: number;
  /** When the VM first knew that it was behind; Infinity where it is not. */
  readonly behindSinceMs: number;
  /** Whether a VM with this id and a higher incarnation was seen. */
  readonly isSuperseded: boolean;
}

export interface Drain {
  /** When the last answer that named this VM has lapsed, milliseconds. */
  readonly addressesExpireAtMs: number;
  /** Work that runs here, as counted since new work is refused; undefined before. */
  readonly running: number | undefined;
  readonly isDone: boolean;
}

export interface Fleet {
  readonly options: Required<FleetOptions>;
  readonly vm: Vm;
  readonly seeds: readonly Address[];
  readonly isStarted: boolean;
  readonly startedAtMs: number;
  /** When the last event came, milliseconds. */
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
