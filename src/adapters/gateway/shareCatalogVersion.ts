/**
 * Tells VMs that start which version of the catalog is in force here, once the store has come back from an older copy, and
 * joins what other VMs tell.
 */

import type { StartCheck } from '../../gateway/createStartCheck';
import { decodeCatalogVersion, encodeCatalogVersion } from '../../peers/catalogVersionCodec';
import type { PeerGroup } from './createPeerGroup';
import type { FollowedCatalog } from './followCatalog';
import { repeatSending } from './repeatSending';

export interface CatalogVersionSharing {
  /** Handles a datagram of another VM that is not a heartbeat. */
  readonly receive: (datagram: Uint8Array) => void;
  /** Tells a VM that has just started. */
  readonly sendSoon: () => void;
  readonly close: () => void;
}

export interface CatalogVersionSharingOptions {
  readonly catalog: Pick<FollowedCatalog, 'current' | 'era'>;
  readonly startCheck: Pick<StartCheck, 'recordReported'>;
  readonly broadcast: PeerGroup['broadcast'];
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
}

/** Delay of a first report, milliseconds: VMs often start together. */
const NEWS_DELAY_MS = 20;

/** Interval at which a report is repeated, milliseconds: some may be lost. */
const REPEAT_MS = 250;

/** Time after the start of another VM for which it is told, milliseconds. */
const TOLD_MS = 5_000;

/** Starts the exchange. Nothing is sent while the store has not lost anything. */
export function shareCatalogVersion(options: CatalogVersionSharingOptions): CatalogVersionSharing {
  const { catalog, startCheck, broadcast, now } = options;
  let untilMs = Number.NEGATIVE_INFINITY;
  const send = (): void => {
    const current = catalog.current();
    if (now() >= untilMs || current === undefined || catalog.era() === 0) return;
    broadcast(encodeCatalogVersion(current.version));
  };
  const sending = repeatSending({ send, delayMs: () => NEWS_DELAY_MS, intervalMs: REPEAT_MS });
  return {
    receive: (datagram) => {
      const version = decodeCatalogVersion(datagram);
      if (version !== undefined) startCheck.recordReported(version);
    },
    sendSoon: () => {
      untilMs = now() + TOLD_MS;
      sending.sendSoon();
    },
    close: sending.close,
  };
}
