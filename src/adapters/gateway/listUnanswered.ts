/**
 * Compares how soon servers answer that were queried together. Where none answers, the delay is most likely
 * this VM's own, so it tells nothing.
 */

import { setImmediate as yieldToInput, setTimeout as sleep } from 'node:timers/promises';

/**
 * @param queries queries that were sent at the same time, by id
 * @returns ids of the queries without a result after `afterMs` if there is a result of any other
 */
export async function listUnanswered(
  queries: ReadonlyMap<string, Promise<unknown>>,
  afterMs: number,
): Promise<ReadonlySet<string>> {
  const open = new Set(queries.keys());
  for (const [id, query] of queries) void query.then(() => open.delete(id));
  await sleep(afterMs);
  // A process that was delayed runs its timers before it reads the answers that have arrived.
  await yieldToInput();
  await yieldToInput();
  return open.size < queries.size ? open : new Set();
}
