/** Exchanges with the other VMs what this VM knows of backend servers and of the catalog, beside the heartbeats. */

import type { ContentSuspicions } from '../../gateway/contentSuspicions';
import type { PartitionDetector } from '../../gateway/createPartitionDetector';
import type { RequestLimits } from '../../gateway/createRequestLimits';
import { CATALOG_FORMAT } from '../../peers/catalogVersionCodec';
import { CONTENTS_FORMAT } from '../../peers/contentReportCodec';
import { LIMITS_FORMAT } from '../../peers/limitReportCodec';
import { PARTITION_FORMAT } from '../../peers/partitionCodec';
import { readDatagramFormat } from '../../peers/readDatagramFormat';
import type { PeerGroup } from './createPeerGroup';
import { shareCatalogVersion } from './shareCatalogVersion';
import type { CatalogVersionSharingOptions } from './shareCatalogVersion';
import { shareContentSuspicions } from './shareContentSuspicions';
import { sharePartitions } from './sharePartitions';
import { shareRequestLimits } from './shareRequestLimits';

export interface ReportSharing {
  /** Handles a datagram of another VM that is not a heartbeat. */
  readonly receive: (datagram: Uint8Array) => void;
  /** Tells a VM that has just started what it has missed. */
  readonly greet: () => void;
  /** Whether another VM says that it reaches no backend server. */
  readonly isPartitioned: (vm: string) => boolean;
  readonly close: () => void;
}

export interface SharedState {
  readonly contentSuspicions: ContentSuspicions;
  readonly limits: RequestLimits;
  readonly partition: PartitionDetector;
}

export interface ReportSharingOptions extends Pick<
  CatalogVersionSharingOptions,
  'catalog' | 'startCheck'
> {
  /** Name of this VM. */
  readonly vm: string;
  readonly peers: Pick<PeerGroup, 'broadcast' | 'passesOn' | 'relays'>;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

/** Starts the exchange. */
export function shareReports(
  { contentSuspicions, limits, partition }: SharedState,
  options: ReportSharingOptions,
): ReportSharing {
  const { vm, peers, now } = options;
  const contents = shareContentSuspicions(contentSuspicions, peers);
  const sharedLimits = shareRequestLimits(limits, peers);
  const partitions = sharePartitions({ vm, partition, broadcast: peers.broadcast, now });
  const catalogVersions = shareCatalogVersion({ ...options, broadcast: peers.broadcast });
  const receivers = new Map([
    [CATALOG_FORMAT, catalogVersions.receive],
    [CONTENTS_FORMAT, contents.receive],
    [LIMITS_FORMAT, sharedLimits.receive],
    [PARTITION_FORMAT, partitions.receive],
  ]);
  return {
    receive: (datagram) => {
      receivers.get(readDatagramFormat(datagram) ?? '')?.(datagram);
    },
    greet: () => {
      sharedLimits.sendSoon();
      catalogVersions.sendSoon();
    },
    isPartitioned: partitions.isPartitioned,
    close: () => {
      catalogVersions.close();
      contents.close();
      sharedLimits.close();
      partitions.close();
    },
  };
}
