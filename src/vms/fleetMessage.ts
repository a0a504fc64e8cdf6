/**
 * Events and effects of the fleet side of a node: membership, shared soft state, addresses,
 * configuration and drain.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { Configuration, RevisionNumber } from '../configuration/configuration';
import type { LoadReport } from '../contracts/engineContract';
import type { MembershipResult } from '../contracts/membershipList';
import type { CallId, Occurrence, SharedEffect, SharedEvent } from '../decisions/primitive';
import type { PeerVm } from '../operations/operationMessage';
import type { ServerHealth, Suspect, WorkspaceUsage } from '../requests/routerMessage';
import type { Address, Vm, VmId } from './vm';

/** Answer to a caller: addresses of VMs, and how long they are valid, milliseconds. */
export interface AddressAnswer {
  readonly addresses: readonly Address[];
  readonly validForMs: number;
}

export type FleetEvent =
  | ({ readonly type: 'started'; readonly vm: Vm; readonly seeds: readonly Address[] } & Occurrence)
  /** A datagram that the shell has authenticated; `body` is decoded msgpack, not validated. */
  | ({
      readonly type: 'datagram-received';
      readonly from: Address;
      readonly body: unknown;
    } & Occurrence)
  /** A message on the reliable channel between VMs; `body` is decoded msgpack, not validated. */
  | ({
      readonly type: 'message-received';
      readonly from: VmId;
      readonly body: unknown;
    } & Occurrence)
  | ({ readonly type: 'listed'; readonly result: MembershipResult } & Occurrence)
  | ({ readonly type: 'load-observed'; readonly report: LoadReport } & Occurrence)
  /** Outcome of this VM's own probe of a backend server. */
  | ({
      readonly type: 'probe-answered';
      readonly server: BackendServerId;
      readonly result: 'live' | 'leaving' | 'unreachable';
      /** Changes with each restart of the backend server. */
      readonly incarnation: string;
      /** Copied from the `probe-server` effect: the answer is dated to then, however late it arrives. */
      readonly askedAtMs: number;
    } & Occurrence)
  | ({
      readonly type: 'server-observed';
      readonly server: BackendServerId;
      readonly observation: 'served' | 'failed' | 'slow' | 'crashed' | 'leaving';
    } & Occurrence)
  | ({ readonly type: 'suspects-shared'; readonly suspects: readonly Suspect[] } & Occurrence)
  | ({ readonly type: 'use-shared'; readonly usage: readonly WorkspaceUsage[] } & Occurrence)
  | ({
      readonly type: 'addresses-asked';
      readonly call: CallId;
      readonly caller: string;
    } & Occurrence)
  /** A revision that this VM has just committed; avoids the wait for the next poll. */
  | ({ readonly type: 'head-committed'; readonly revision: RevisionNumber } & Occurrence)
  | ({ readonly type: 'drain-started' } & Occurrence)
  /** Requests and operations still running on this VM; the drain ends when `running` is 0. */
  | ({ readonly type: 'work-counted'; readonly running: number } & Occurrence)
  | SharedEvent;

export type FleetEffect =
  | { readonly type: 'send-datagram'; readonly to: Address; readonly body: unknown }
  | { readonly type: 'send-message'; readonly to: PeerVm; readonly body: unknown }
  | { readonly type: 'list-vms' }
  | {
      readonly type: 'probe-server';
      readonly server: BackendServerId;
      readonly address: Address;
      /** Returned with the answer, this VM's clock, milliseconds. */
      readonly askedAtMs: number;
    }
  | { readonly type: 'configuration-applied'; readonly configuration: Configuration }
  /** Every VM that may still serve has applied this revision. */
  | { readonly type: 'configuration-accepted'; readonly revision: RevisionNumber }
  | {
      readonly type: 'configuration-pending';
      readonly revision: RevisionNumber;
      readonly waitsFor: readonly VmId[];
    }
  | { readonly type: 'servers-changed'; readonly servers: readonly ServerHealth[] }
  | { readonly type: 'server-crashed'; readonly server: BackendServerId }
  | { readonly type: 'vms-changed'; readonly vms: readonly PeerVm[]; readonly acceptingVms: number }
  | { readonly type: 'load-learned'; readonly report: LoadReport; readonly ageMs: number }
  | { readonly type: 'suspects-learned'; readonly suspects: readonly Suspect[] }
  | {
      readonly type: 'use-learned';
      readonly usage: readonly WorkspaceUsage[];
      readonly acceptingVms: number;
    }
  | { readonly type: 'accepting-changed'; readonly isAccepting: boolean; readonly reason: string }
  | { readonly type: 'answer-addresses'; readonly call: CallId; readonly answer: AddressAnswer }
  | { readonly type: 'drained' }
  | SharedEffect;
