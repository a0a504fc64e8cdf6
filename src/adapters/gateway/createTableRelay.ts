/**
 * Relays the store's tables to other VMs: answers their long polls for changes from this VM's own copies,
 * with the age of those copies. A VM that is no relay does not answer from copies that it has from another VM. Two
 * relays that each take the other for the first can wait for each other no longer than their copies stay valid.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ClockReading } from '../../catalog/confirmation';
import { elapsedMs } from '../../catalog/confirmation';
import type { Position } from '../../contracts/position';
import type { TableCopy } from '../../peers/tableCopy';
import { listTableChanges } from '../../peers/tableCopy';

export interface PublishedTable {
  readonly copy: TableCopy;
  /** Time at which the copy was last known to be current. */
  readonly known: ClockReading;
  /** Whether other VMs may follow this copy. */
  readonly isOffered: boolean;
  /** Age beyond which this VM's copy is too old for others, milliseconds. */
  readonly maxAgeMs: number;
}

export interface TableRelay {
  /** Replaces the copy of a table and answers the requests that wait for it. */
  readonly publish: (table: string, published: PublishedTable) => void;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
}

/** Longest time for which a request is held. */
const MAX_HOLD_MS = 2_000;

const HISTORY_GONE = 410;
const UNAVAILABLE = 503;

interface HeldRequest {
  readonly table: string;
  readonly since: Position;
  readonly askedMs: number;
  readonly response: ServerResponse;
}

/** Creates a relay without tables. */
export function createTableRelay(clock: () => ClockReading): TableRelay {
  const tables = new Map<string, PublishedTable>();
  const holdTimers = new Map<HeldRequest, NodeJS.Timeout>();

  const respond = (request: HeldRequest): void => {
    const { table, since, askedMs, response } = request;
    clearTimeout(holdTimers.get(request));
    holdTimers.delete(request);
    const published = tables.get(table);
    const agoMs = computeAge(published);
    const isBehind = since.era > (published?.copy.position.era ?? 0);
    if (published?.isOffered !== true || isBehind || agoMs > published.maxAgeMs) {
      sendJson(response, UNAVAILABLE);
      return;
    }
    const rows = listTableChanges(published.copy, since);
    const { position } = published.copy;
    if (rows === undefined) {
      sendJson(response, HISTORY_GONE, { era: position.era });
      return;
    }
    const heldMs = clock().monotonicMs - askedMs;
    sendJson(response, 200, { rows, position, heldMs, agoMs });
  };
  const computeAge = (published: PublishedTable | undefined): number =>
    published === undefined ? Infinity : elapsedMs(published.known, clock());
  const hasChanges = ({ table, since }: HeldRequest): boolean => {
    const copy = tables.get(table)?.copy;
    return copy === undefined || listTableChanges(copy, since)?.length !== 0;
  };
  const hold = (request: HeldRequest, waitMs: number): void => {
    const published = tables.get(request.table);
    const leftMs = (published?.maxAgeMs ?? 0) - computeAge(published);
    const holdMs = Math.max(0, Math.min(waitMs, MAX_HOLD_MS, leftMs));
    const timer = setTimeout(() => {
      respond(request);
    }, holdMs);
    holdTimers.set(request, timer);
    request.response.once('close', () => {
      clearTimeout(timer);
      holdTimers.delete(request);
    });
  };
  return {
    publish: (table, published) => {
      tables.set(table, published);
      for (const request of [...holdTimers.keys()]) {
        if (request.table !== table) continue;
        if (!published.isOffered || hasChanges(request)) respond(request);
      }
    },
    handle: (request, response) => {
      const [, search] = (request.url ?? '').split('?', 2);
      const query = new URLSearchParams(search);
      const table = query.get('table') ?? '';
      const readNumber = (name: string): number => Number(query.get(name) ?? Number.NaN);
      const since = { era: readNumber('era'), version: readNumber('since') };
      const waitMs = readNumber('wait');
      if (![since.era, since.version, waitMs].every(Number.isFinite)) {
        sendJson(response, 400, { error: 'era, since and wait must be numbers' });
        return;
      }
      const heldRequest = { table, since, askedMs: clock().monotonicMs, response };
      if (tables.get(table)?.isOffered !== true || hasChanges(heldRequest)) respond(heldRequest);
      else hold(heldRequest, waitMs);
    },
  };
}

function sendJson(response: ServerResponse, status: number, body: unknown = {}): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
