/** Sends this VM's reports of contents to the other VMs, and joins theirs. */

import type { ContentSuspicions } from '../../gateway/contentSuspicions';
import {
  decodeContentReports,
  encodeContentReports,
  MAX_REPORTS,
} from '../../peers/contentReportCodec';
import type { PeerGroup } from './createPeerGroup';
import { repeatSending } from './repeatSending';

export interface ContentSharing {
  /** Handles a datagram of another VM that is not a heartbeat. */
  readonly receive: (datagram: Uint8Array) => void;
  readonly close: () => void;
}

/** Interval at which reports are repeated for VMs that have missed them, milliseconds. */
const REPEAT_MS = 1_000;

/** Delay of new reports; the connections of all requests on a server end within it. */
const NEWS_DELAY_MS = 20;

/** Datagrams sent at once; a longer queue follows with the next news or repetition. */
const MAX_DATAGRAMS = 8;

/** Starts the exchange. */
export function shareContentSuspicions(
  suspicions: ContentSuspicions,
  { broadcast }: Pick<PeerGroup, 'broadcast'>,
): ContentSharing {
  const sendDue = (): void => {
    for (let sent = 0; sent < MAX_DATAGRAMS; sent += 1) {
      const reports = suspicions.takeReports(MAX_REPORTS);
      if (reports.length === 0) return;
      broadcast(encodeContentReports(reports));
    }
  };
  const sending = repeatSending({ send: sendDue, delayMs: NEWS_DELAY_MS, intervalMs: REPEAT_MS });
  suspicions.onNews(sending.sendSoon);
  return {
    receive: (datagram) => {
      const reports = decodeContentReports(datagram);
      if (reports !== undefined) suspicions.merge(reports);
    },
    close: sending.close,
  };
}
