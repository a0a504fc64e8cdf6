/** Keeps this VM's own record in the store, and follows those of the other VMs. */

import type { ExecutorClaim } from '../adapters/gateway/createExecutorClaim';
import type { PeerGroup } from '../adapters/gateway/createPeerGroup';
import { followTable } from '../adapters/gateway/followTable';
import type { FollowOptions } from '../adapters/gateway/followTable';
import type { StoreHealth } from '../gateway/createStoreHealth';
import type { LogFields } from '../gateway/job';
import type { PeerRecord } from '../peers/peer';
import { parsePeerRecord } from './parsePeerRecord';

export interface Membership {
  /** The store is known to hold this VM's record. */
  readonly isRegistered: () => boolean;
  readonly register: () => Promise<void>;
  readonly unregister: () => Promise<unknown>;
  /** Removes the records of VMs that have been silent for long. */
  readonly removeDeparted: () => Promise<void>;
}

export interface MembershipOptions extends Omit<
  FollowOptions,
  'onRows' | 'onAnswer' | 'onFailure'
> {
  readonly self: PeerRecord;
  readonly peers: PeerGroup;
  readonly claim: ExecutorClaim;
  /** Key of the row that names the VM which places layers. */
  readonly executorKey: string;
  readonly health: StoreHealth;
  readonly log: (message: string, fields: LogFields) => void;
}

const KEY_PREFIX = 'vm/';

/** Registers this VM and starts to follow. */
export function followMembership(options: MembershipOptions): Membership {
  const { store, table, self, peers, claim, health, log } = options;
  const ownKey = KEY_PREFIX + self.vm;
  let isRegistered = false;

  followTable({
    ...options,
    onRows: (rows) => {
      const records = [...rows.values()].flatMap((row) =>
        row.key.startsWith(KEY_PREFIX) ? (parsePeerRecord(row.value) ?? []) : [],
      );
      isRegistered = records.some(({ incarnation }) => incarnation === self.incarnation);
      peers.setRecords(records.filter(({ vm }) => vm !== self.vm).concat(self));
      claim.applyRow(rows.get(options.executorKey));
    },
    onAnswer: health.succeeded,
    onFailure: health.failed,
  });
  const register = async (): Promise<void> => {
    const result = await store.write(table, [{ key: ownKey, value: JSON.stringify(self) }]);
    isRegistered = result.type === 'committed';
    if (!isRegistered) log('registration failed', { result: result.type });
  };
  void register();
  return {
    isRegistered: () => isRegistered,
    register,
    unregister: () => store.write(table, [{ key: ownKey, value: undefined }]),
    removeDeparted: async () => {
      for (const { vm } of peers.departed()) {
        const result = await store.write(table, [{ key: KEY_PREFIX + vm, value: undefined }]);
        log('departed VM removed', { peer: vm, result: result.type });
      }
    },
  };
}
