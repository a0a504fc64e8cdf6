/**
 * The tokens delivered so far, as a linked list that shares its tail: appending costs the same for
 * the tenth token as for the two-thousandth, and no earlier state changes.
 */

export interface TokenList {
  readonly token: number;
  readonly before: TokenList | undefined;
}
