/** Which contents may be the cause of crashes, as a VM keeps it. */

import type { ContentReport } from '../crashes/contentTally';
import type { Passing } from '../crashes/createReportSchedule';

/** An incarnation of a backend server. */
export interface ServerIncarnation {
  readonly id: string;
  /** Start, Unix milliseconds. */
  readonly bornMs: number;
}

/** Time within which the loss of a connection and the end of its server belong together, milliseconds. */
export const LOSS_VALID_MS = 3_000;

/** The same for a run without an answer: a silent server leaves the list only after some heartbeats. */
export const SILENT_LOSS_VALID_MS = 6_000;

export interface Loss {
  /** Time for which the run lasted, milliseconds. */
  readonly ranMs?: number;
  /** Time for which an end of the server belongs to the run, milliseconds. */
  readonly validMs?: number;
}

export interface ContentSuspicions {
  /** Records a request that has arrived, whether or not it is refused. */
  readonly recordArrival: (contents: readonly string[]) => void;
  /** Time for which a request with these contents is refused, milliseconds; 0 if it may run. */
  readonly heldMs: (contents: readonly string[]) => number;
  /** Whether such a request is refused, or runs on trial and should be sent to one server only. */
  readonly isSuspect: (contents: readonly string[]) => boolean;
  /** Records a run that the server lost, or left without an answer; it counts if the server ends. */
  readonly recordLoss: (
    server: ServerIncarnation,
    contents: readonly string[],
    loss?: Loss,
  ) => void;
  /**
   * Records that a request with these contents has run without ending its server.
   *
   * @param ranMs time for which it has run so far, milliseconds; by default it is complete
   */
  readonly recordHarmlessRun: (contents: readonly string[], ranMs?: number) => void;
  /** Joins what another VM reports, and reports it in turn if this VM passes it on. */
  readonly merge: (reports: readonly ContentReport[], passing?: Passing) => void;
  /** Takes the reports that are due to be sent: new ones first, most crashes first; others once in a while. */
  readonly takeReports: (limit: number, passing?: Passing) => readonly ContentReport[];
  /**
   * Reports of the contents that must outlast the VMs: those that are refused or run on trial, then those that one more
   * crash has refused.
   */
  readonly listKept: () => readonly ContentReport[];
  /** Called when there is something new to report. */
  readonly onNews: (listener: () => void) => void;
}
