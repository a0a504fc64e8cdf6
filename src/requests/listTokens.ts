/** Converts a token list into an array, for the order of a new attempt. */

import type { TokenList } from './tokenList';

/**
 * @param list the last token, linked to the previous ones; undefined if there is none
 * @param count number of tokens in the list
 * @returns the tokens in the order of delivery
 */
export function listTokens(list: TokenList | undefined, count: number): readonly number[] {
  const tokens = new Array<number>(count);
  let index = count;
  for (let item = list; item !== undefined; item = item.before) {
    index -= 1;
    tokens[index] = item.token;
  }
  return tokens;
}
