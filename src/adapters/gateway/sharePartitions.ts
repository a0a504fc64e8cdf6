/** Tells the other VMs while this VM is partitioned from all backend servers, and keeps which of them are. */

import type { PartitionDetector } from '../../gateway/createPartitionDetector';
import { decodePartitionNotice, encodePartitionNotice } from '../../peers/partitionCodec';
import type { PeerGroup } from './createPeerGroup';
import { repeatSending } from './repeatSending';

export interface PartitionSharing {
  /** Handles a datagram of another VM that is not a heartbeat. */
  readonly receive: (datagram: Uint8Array) => void;
  /** Whether another VM says that it is partitioned. */
  readonly isPartitioned: (vm: string) => boolean;
  readonly close: () => void;
}

export interface PartitionSharingOptions {
  /** Name of this VM. */
  readonly vm: string;
  readonly partition: Pick<PartitionDetector, 'isPartitioned' | 'onChange'>;
  readonly broadcast: PeerGroup['broadcast'];
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

/** Interval at which a partitioned VM repeats its notice, milliseconds. */
const REPEAT_MS = 250;

/** Time for which a notice holds, milliseconds: some may be lost, and the VM may end. */
const VALID_MS = 1_000;

/** Starts the exchange. Nothing is sent while this VM is not partitioned, but for the end of a partition. */
export function sharePartitions(options: PartitionSharingOptions): PartitionSharing {
  const { vm, partition, broadcast, now } = options;
  const noticesMs = new Map<string, number>();
  const send = (): void => {
    broadcast(encodePartitionNotice({ vm, isPartitioned: partition.isPartitioned() }));
  };
  const sending = repeatSending({
    send: () => {
      if (partition.isPartitioned()) send();
    },
    delayMs: () => 0,
    intervalMs: REPEAT_MS,
  });
  partition.onChange(send);
  return {
    receive: (datagram) => {
      const notice = decodePartitionNotice(datagram);
      if (notice?.isPartitioned === true) noticesMs.set(notice.vm, now());
      else if (notice !== undefined) noticesMs.delete(notice.vm);
    },
    isPartitioned: (name) => now() - (noticesMs.get(name) ?? Number.NEGATIVE_INFINITY) < VALID_MS,
    close: sending.close,
  };
}
