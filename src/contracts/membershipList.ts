/** The platform's list of live and leaving VMs, which lags behind the actual membership. */

import type { Vm } from '../vms/vm';

export interface ListedVm {
  readonly vm: Vm;
  readonly state: 'live' | 'leaving';
}

export type MembershipResult =
  | { readonly type: 'listed'; readonly vms: readonly ListedVm[] }
  | { readonly type: 'unavailable'; readonly detail: string };

export interface MembershipList {
  readonly list: () => Promise<MembershipResult>;
}
