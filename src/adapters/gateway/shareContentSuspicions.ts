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

/**
 * The same in a fleet with relays: there, requests on a lost server are on many VMs, which notice its end one after the
 * other, and each datagram goes to many.
 */
const RELAYED_NEWS_DELAY_MS = 100;

/** Datagrams sent at once; a longer queue follows with the next news or repetition. */
const MAX_DATAGRAMS = 8;

/** Starts the exchange. */
export function shareContentSuspicions(
  suspicions: ContentSuspicions,
  { broadcast, passesOn, relays }: Pick<PeerGroup, 'broadcast' | 'passesOn' | 'relays'>,
): ContentSharing {
  const sendDue = (): void => {
    const reports = suspicions.takeReports(MAX_DATAGRAMS * MAX_REPORTS, { passesOn: passesOn() });
    for (let sent = 0; sent < reports.length; sent += MAX_REPORTS)
      broadcast(encodeContentReports(reports.slice(sent, sent + MAX_REPORTS)));
  };
  const sending = repeatSending({
    send: sendDue,
    delayMs: () => (relays().length > 0 ? RELAYED_NEWS_DELAY_MS : NEWS_DELAY_MS),
    intervalMs: REPEAT_MS,
  });
  suspicions.onNews(sending.sendSoon);
  return {
    receive: (datagram) => {
      const reports = decodeContentReports(datagram);
      if (reports !== undefined) suspicions.merge(reports, { passesOn: passesOn() });
    },
    close: sending.close,
  };
}
