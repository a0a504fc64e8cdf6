/**
 * Chooses, among contents that can't be told apart, the one whose requests wait while the others show whether they
 * do harm. Left to run, sound requests share servers with harmful ones and are lost with them, so that the contents
 * of both stay suspects for good. Load pattern: a harmful part of prompts in much of the traffic of few servers.
 */

import type { Culprits } from './findCulprits';

/**
 * @param culprits contents that explain about the same crashes
 * @param rateOf how often requests with a content arrive, in any unit
 * @returns the content with most crashes and among these the rarest, as a harmful content that is common would have
 *   ended more servers; undefined if no other content is suspected, or two are alike in both
 */
export function choosePrimeSuspect(
  { contents, mostCrashes }: Pick<Culprits, 'contents' | 'mostCrashes'>,
  rateOf: (content: string) => number,
): string | undefined {
  if (contents.length < 2) return undefined;
  const [rarest, next] = mostCrashes
    .map((content) => ({ content, rate: rateOf(content) }))
    .sort((one, other) => one.rate - other.rate);
  return rarest === undefined || rarest.rate === next?.rate ? undefined : rarest.content;
}
