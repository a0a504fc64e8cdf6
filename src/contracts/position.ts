/**
 * Position in the store's history. Versions are given out again after the store came back from an older
 * copy, which starts a new era, so a version means nothing without its era.
 */

export interface Position {
  /** Number of times that the store came back from an older copy. */
  readonly era: number;
  /** Counter that grows with each transaction of an era. */
  readonly version: number;
}
