/** Maintains this VM's record in the store and follows the records of the other VMs. */

import type { ContentKeeper } from '../adapters/gateway/createContentKeeper';
import type { ExecutorClaim } from '../adapters/gateway/createExecutorClaim';
import type { PeerGroup } from '../adapters/gateway/createPeerGroup';
import { createRowCache } from '../adapters/gateway/createRowCache';
import { followTable } from '../adapters/gateway/followTable';
import type { FollowOptions } from '../adapters/gateway/followTable';
import type { StoreHealth } from '../gateway/createStoreHealth';
import type { LogFields } from '../gateway/job';
import type { PeerRecord } from '../peers/peer';
import { parsePeerRecord } from './parsePeerRecord';

export interface Membership {
  /** Whether the store is known to hold this VM's record. */
  readonly isRegistered: () => boolean;
  readonly register: () => Promise<void>;
  readonly unregister: () => Promise<unknown>;
  /** Removes the records of VMs that have sent no heartbeat for a long time. */
  readonly removeDeparted: () => Promise<void>;
}

export interface MembershipOptions extends Omit<
  FollowOptions,
  'onRows' | 'onAnswer' | 'onFailure'
> {
  readonly self: PeerRecord;
  readonly peers: PeerGroup;
  readonly claim: ExecutorClaim;
  /** Key of the row that names the executor, the VM that places layers. */
  readonly executorKey: string;
  readonly contentKeeper: Pick<ContentKeeper, 'applyRow'>;
  /** Key of the row that holds the contents that are refused. */
  readonly contentKey: string;
  readonly health: StoreHealth;
  readonly log: (message: string, fields: LogFields) => void;
}

const VM_KEY_PREFIX = 'vm/';

/** Registers this VM and starts to follow the records. */
export function followMembership(options: MembershipOptions): Membership {
  const { store, table, self, peers, claim, health, log } = options;
  const ownKey = VM_KEY_PREFIX + self.vm;
  const decodeRecord = createRowCache(({ value }) => parsePeerRecord(value));
  let isRegistered = false;
  let isLeaving = false;
  /** Era in which the records were last read. */
  let era = Infinity;

  followTable({
    ...options,
    onRows: (rows, position) => {
      const records = [...rows.values()].flatMap((row) =>
        row.key.startsWith(VM_KEY_PREFIX) ? (decodeRecord(row) ?? []) : [],
      );
      isRegistered = records.some(({ incarnation }) => incarnation === self.incarnation);
      peers.setRecords(records.filter(({ vm }) => vm !== self.vm).concat(self));
      claim.applyRow(rows.get(options.executorKey), position);
      options.contentKeeper.applyRow(rows.get(options.contentKey));
      if (position.era > era && !isRegistered && !isLeaving) void register();
      era = position.era;
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
    unregister: () => {
      isLeaving = true;
      return store.write(table, [{ key: ownKey, value: undefined }]);
    },
    removeDeparted: async () => {
      for (const { vm } of peers.departed()) {
        const result = await store.write(table, [{ key: VM_KEY_PREFIX + vm, value: undefined }]);
        log('departed VM removed', { peer: vm, result: result.type });
      }
    },
  };
}
