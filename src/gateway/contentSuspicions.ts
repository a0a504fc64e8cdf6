/** Which contents may be the cause of crashes, as a VM keeps it. */

import type { ContentReport } from '../crashes/contentTally';

/** An incarnation of a backend server. */
export interface ServerIncarnation {
  readonly id: string;
  /** Start, Unix milliseconds. */
  readonly bornMs: number;
}

export interface ContentSuspicions {
  /** Records a request that has arrived, whether or not it is refused. */
  readonly recordArrival: (contents: readonly string[]) => void;
  /** Time for which a request with these contents is refused, milliseconds; 0 if it may run. */
  readonly heldMs: (contents: readonly string[]) => number;
  /** Whether such a request is refused, or runs on trial and should be sent to one server only. */
  readonly isSuspect: (contents: readonly string[]) => boolean;
  /**
   * Records a run whose connection the server lost.
   *
   * @param ranMs time for which it had run, milliseconds
   */
  readonly recordLoss: (
    server: ServerIncarnation,
    contents: readonly string[],
    ranMs?: number,
  ) => void;
  /**
   * Records that a request with these contents has run without ending its server.
   *
   * @param ranMs time for which it has run so far, milliseconds; by default it is complete
   */
  readonly recordHarmlessRun: (contents: readonly string[], ranMs?: number) => void;
  /** Joins what another VM reports. */
  readonly merge: (reports: readonly ContentReport[]) => void;
  /** Takes the reports that are due to be sent: new ones first, most crashes first; others once in a while. */
  readonly takeReports: (limit: number) => readonly ContentReport[];
  /**
   * Reports of the contents that must outlast the VMs: those that are refused or run on trial, then those that one more
   * crash has refused.
   */
  readonly listKept: () => readonly ContentReport[];
  /** Called when there is something new to report. */
  readonly onNews: (listener: () => void) => void;
}
