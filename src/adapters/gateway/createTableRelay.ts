/**
 * Hands the store's tables on to other VMs: answers their questions for changes from this VM's own
 * copies, and says how old its knowledge is. It answers only for tables that it follows at the store
 * itself, so that two VMs can never wait for each other.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ClockReading } from '../../catalog/confirmation';
import { elapsedMs } from '../../catalog/confirmation';
import type { TableCopy } from '../../peers/tableCopy';
import { listTableChanges } from '../../peers/tableCopy';

export interface PublishedTable {
  readonly copy: TableCopy;
  /** Until when the copy is known to be the newest. */
  readonly known: ClockReading;
  /** This VM follows the table at the store itself. */
  readonly isDirect: boolean;
  /** Age from which this VM's knowledge is of no use to others, milliseconds. */
  readonly maxAgeMs: number;
}

export interface TableRelay {
  /** Takes what is known of a table now. */
  readonly publish: (table: string, published: PublishedTable) => void;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
}

/** Longest time for which a question is held, milliseconds. */
const MAX_HOLD_MS = 2_000;

const HISTORY_GONE = 410;
const UNAVAILABLE = 503;

interface Question {
  readonly table: string;
  readonly sinceVersion: number;
  readonly askedMs: number;
  readonly response: ServerResponse;
}

/** Creates a relay that knows nothing yet. */
export function createTableRelay(clock: () => ClockReading): TableRelay {
  const tables = new Map<string, PublishedTable>();
  const held = new Map<Question, NodeJS.Timeout>();

  const answer = (question: Question): void => {
    const { table, sinceVersion, askedMs, response } = question;
    clearTimeout(held.get(question));
    held.delete(question);
    const published = tables.get(table);
    const agoMs = ageOf(published);
    if (published?.isDirect !== true || agoMs > published.maxAgeMs) {
      end(response, UNAVAILABLE);
      return;
    }
    const rows = listTableChanges(published.copy, sinceVersion);
    if (rows === undefined) {
      end(response, HISTORY_GONE);
      return;
    }
    const heldMs = clock().monotonicMs - askedMs;
    end(response, 200, { rows, version: published.copy.version, heldMs, agoMs });
  };
  const ageOf = (published: PublishedTable | undefined): number =>
    published === undefined ? Infinity : elapsedMs(published.known, clock());
  const hasNews = ({ table, sinceVersion }: Question): boolean => {
    const copy = tables.get(table)?.copy;
    return copy === undefined || listTableChanges(copy, sinceVersion)?.length !== 0;
  };
  const hold = (question: Question, waitMs: number): void => {
    const published = tables.get(question.table);
    const leftMs = (published?.maxAgeMs ?? 0) - ageOf(published);
    const holdMs = Math.max(0, Math.min(waitMs, MAX_HOLD_MS, leftMs));
    const timer = setTimeout(() => {
      answer(question);
    }, holdMs);
    held.set(question, timer);
    question.response.once('close', () => {
      clearTimeout(timer);
      held.delete(question);
    });
  };
  return {
    publish: (table, published) => {
      tables.set(table, published);
      for (const question of [...held.keys()]) {
        const isAnswerable = !published.isDirect || hasNews(question);
        if (question.table === table && isAnswerable) answer(question);
      }
    },
    handle: (request, response) => {
      const query = new URL(request.url ?? '/', 'http://vm').searchParams;
      const table = query.get('table') ?? '';
      const sinceVersion = Number(query.get('since') ?? Number.NaN);
      const waitMs = Number(query.get('wait') ?? Number.NaN);
      if (!Number.isFinite(sinceVersion) || !Number.isFinite(waitMs)) {
        end(response, 400, { error: 'since and wait must be numbers' });
        return;
      }
      const question = { table, sinceVersion, askedMs: clock().monotonicMs, response };
      if (tables.get(table)?.isDirect !== true || hasNews(question)) answer(question);
      else hold(question, waitMs);
    },
  };
}

function end(response: ServerResponse, status: number, body: unknown = {}): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
