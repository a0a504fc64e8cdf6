/** Tells the other VMs which limits of backend servers this VM knows, and joins what they know. */

import type { RequestLimits } from '../../gateway/createRequestLimits';
import {
  decodeLimitReports,
  encodeLimitReports,
  MAX_LIMIT_REPORTS,
} from '../../peers/limitReportCodec';
import type { PeerGroup } from './createPeerGroup';
import { repeatSending } from './repeatSending';

export interface LimitSharing {
  /** Handles a datagram of another VM that is not a heartbeat. */
  readonly receive: (datagram: Uint8Array) => void;
  /** Tells a VM that has just started what it has missed. */
  readonly sendSoon: () => void;
  readonly close: () => void;
}

/** Interval at which limits are repeated, milliseconds. */
const REPEAT_MS = 500;

/** Delay of news, milliseconds: limits of several servers mostly begin together. */
const NEWS_DELAY_MS = 20;

/** Starts the exchange. Nothing is sent while no limit is known. */
export function shareRequestLimits(
  limits: RequestLimits,
  { broadcast }: Pick<PeerGroup, 'broadcast'>,
): LimitSharing {
  const sendAll = (): void => {
    const reports = limits.reports();
    for (let first = 0; first < reports.length; first += MAX_LIMIT_REPORTS)
      broadcast(encodeLimitReports(reports.slice(first, first + MAX_LIMIT_REPORTS)));
  };
  const sending = repeatSending({
    send: sendAll,
    delayMs: () => NEWS_DELAY_MS,
    intervalMs: REPEAT_MS,
  });
  limits.onNews(sending.sendSoon);
  return {
    receive: (datagram) => {
      const reports = decodeLimitReports(datagram);
      if (reports !== undefined) limits.merge(reports);
    },
    sendSoon: sending.sendSoon,
    close: sending.close,
  };
}
