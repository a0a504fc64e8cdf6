/** Answers of the platform's table. */

import { decodeHead } from '../configuration/decodeHead';
import type { RowsRead } from '../decisions/primitive';
import { chain } from './chain';
import { fetchConfiguration } from './fetchConfiguration';
import type { Fleet, FleetDecision } from './fleet';
import { recordStoreContact } from './recordStoreContact';
import { mergeHead } from './mergeHead';
import { applyFetchedRevisions } from './applyFetchedRevisions';
import { withConfiguration } from './withConfiguration';

/** Takes in the head row or revision rows; an unavailable table changes nothing but the wait. */
export function handleRowsRead(fleet: Fleet, event: RowsRead): FleetDecision {
  const [what, nonce] = event.call.split('-');
  if (what === 'head') return takeHead(fleet, event, Number(nonce));
  if (what !== 'revisions') return { state: fleet, effects: [] };
  const { result } = event;
  if (result.type === 'unavailable') return { state: fleet, effects: [] };
  const texts = result.rows.map((row) => row.value);
  return chain(
    withConfiguration(fleet, { fetch: { type: 'none' } }),
    (state) => applyFetchedRevisions(state, texts, event.atMs, event.seed),
    (state) => fetchMore(state, event, texts.length),
  );
}

/** An empty range means that the rows are not there, so the next try goes to a peer or waits. */
function fetchMore(fleet: Fleet, event: RowsRead, rows: number): FleetDecision {
  if (rows > 0) return fetchConfiguration(fleet, event.atMs, event.seed);
  const fetch = { type: 'table', startedAtMs: event.atMs } as const;
  return { state: withConfiguration(fleet, { fetch }), effects: [] };
}

function takeHead(fleet: Fleet, event: RowsRead, nonce: number): FleetDecision {
  const polled = withConfiguration(fleet, { isPolling: false });
  const { result } = event;
  if (result.type === 'unavailable') return { state: polled, effects: [] };
  const row = result.rows[0];
  const head = row === undefined ? { revision: 0 } : decodeHead(row.value);
  if (head === undefined) {
    return { state: polled, effects: [{ type: 'count', counter: 'revisions_malformed', by: 1 }] };
  }
  const heard = recordStoreContact(polled, nonce, event.atMs);
  return fetchConfiguration(mergeHead(heard, head.revision), event.atMs, event.seed);
}
