/** Handles rows read from the platform's table. */

import { decodeHead } from '../configuration/decodeHead';
import type { RowsRead } from '../decisions/primitive';
import { applyFetchedRevisions } from './applyFetchedRevisions';
import { chain } from './chain';
import { fetchConfiguration } from './fetchConfiguration';
import type { Fleet, FleetDecision } from './fleet';
import { mergeHead } from './mergeHead';
import { recordStoreContact } from './recordStoreContact';
import { withConfiguration } from './withConfiguration';

/** Applies the head row or revision rows. An unavailable table only ends the wait for the head row. */
export function handleRowsRead(fleet: Fleet, event: RowsRead): FleetDecision {
  const [purpose, nonce] = event.call.split('-');
  if (purpose === 'head') return handleHeadRow(fleet, event, Number(nonce));
  if (purpose !== 'revisions') return { state: fleet, effects: [] };
  const { result } = event;
  if (result.type === 'unavailable') return { state: fleet, effects: [] };
  const texts = result.rows.map((row) => row.value);
  return chain(
    withConfiguration(fleet, { fetch: { type: 'none' } }),
    (state) => applyFetchedRevisions(state, texts, event.atMs, event.seed),
    (state) => fetchMore(state, event, texts.length),
  );
}

/** An empty range means that the table lacks the rows: the next attempt goes to a peer or waits. */
function fetchMore(fleet: Fleet, event: RowsRead, rows: number): FleetDecision {
  if (rows > 0) return fetchConfiguration(fleet, event.atMs, event.seed);
  const fetch = { type: 'table', startedAtMs: event.atMs } as const;
  return { state: withConfiguration(fleet, { fetch }), effects: [] };
}

function handleHeadRow(fleet: Fleet, event: RowsRead, nonce: number): FleetDecision {
  const polled = withConfiguration(fleet, { isPolling: false });
  const { result } = event;
  if (result.type === 'unavailable') return { state: polled, effects: [] };
  const row = result.rows[0];
  const head = row === undefined ? { revision: 0 } : decodeHead(row.value);
  if (head === undefined) {
    return { state: polled, effects: [{ type: 'count', counter: 'revisions_malformed', by: 1 }] };
  }
  const contacted = recordStoreContact(polled, nonce, event.atMs);
  return fetchConfiguration(mergeHead(contacted, head.revision), event.atMs, event.seed);
}
