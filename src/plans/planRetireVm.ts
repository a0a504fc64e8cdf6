/** Plans the retirement of a VM, which is ordered to leave and drains itself. */

import type { Configuration } from '../configuration/configuration';
import type { Draft } from './draft';
import type { Intent } from './intent';

type RetireVm = Extract<Intent, { readonly type: 'retire-vm' }>;

/** Plans `retire-vm`. VMs are not part of the configuration, so nothing is committed. */
export function planRetireVm(_configuration: Configuration, { vm }: RetireVm): Draft {
  return {
    type: 'draft',
    summary: `Retire VM ${vm}`,
    preconditions: [],
    steps: [{ type: 'drain-vm', vm }],
    risks: [`The other VMs carry the callers of ${vm}`],
    rejected: ['Stopping it at once: the requests that run on it would be cut'],
  };
}
