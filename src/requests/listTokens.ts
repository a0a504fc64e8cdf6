/** Writes a token list out, for the order of a new attempt. */

import type { TokenList } from './tokenList';

/**
 * @param list the last token, linked to the ones before; undefined where there is none
 * @param count how many tokens the list has
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
