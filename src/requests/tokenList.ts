/**
 * The tokens delivered so far, as a persistent linked list that shares its tail: appending takes
 * constant time and leaves earlier states unchanged.
 */

export interface TokenList {
  readonly token: number;
  readonly before: TokenList | undefined;
}
