/** Rows of the configuration: the head, and one row for each revision. */

import type { Revision, RevisionNumber } from '../configuration/configuration';

/** Table of the configuration. */
export const CONFIGURATION_TABLE = 'configuration';

/** Key of the row that names the highest committed revision. */
export const HEAD_KEY = 'head';

/** Digits of a revision's number in its key, so that keys sort as numbers. */
const REVISION_DIGITS = 12;

/** The head row's value. */
export interface Head {
  readonly revision: RevisionNumber;
  readonly changeId: string;
}

/** Key of a revision's row. */
export function revisionKey(revision: RevisionNumber): string {
  return `revision/${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

/** Turns a revision into its row's text. */
export function encodeRevision(revision: Revision): string {
  return JSON.stringify(revision);
}

/** Reads a revision's row. */
export function decodeRevision(value: string): Revision {
  return JSON.parse(value) as Revision;
}
