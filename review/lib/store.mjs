/**
 * Stand-in for the platform's store: rows in tables, transactions under conditions, and waits for changes. It
 * answers as PROTOCOL.md says, with the header `Store-Era` of the fourth letter.
 */

import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { listen } from './ports.mjs';
import { now } from './record.mjs';

/** Time that a transaction takes, milliseconds, as `txnMs` in the settings. */
const TRANSACTION_MS = 4;

/** Most rows in an answer. */
const PAGE_ROWS = 500;

/** Tables that the system may not write to. */
const RESERVED = new Set(['op', 'servers']);

const byBytes = (one, other) => Buffer.compare(Buffer.from(one.key), Buffer.from(other.key));

export async function startStore() {
  const rows = new Map();
  let history = [];
  let version = 0;
  let era = 0;
  const waiters = new Set();
  let isAway = false;
  const feedListeners = [];

  const idOf = ({ table, part = '', key }) => JSON.stringify([table, part, key]);
  const respond = (response, status, body) => {
    const text = JSON.stringify({ ...body, rowVersion: version, nowMs: Math.round(now()) });
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'store-era': String(era),
    });
    response.end(text);
  };
  const apply = ({ table, part = '', key, value }) => {
    const row = { table, part, key, value, rowVersion: version };
    if (value === undefined) rows.delete(idOf(row));
    else rows.set(idOf(row), row);
    const removed = { table, part, key, rowVersion: version };
    history.push(value === undefined ? { ...removed, deleted: true } : row);
  };
  const commit = (changes) => {
    version += 1;
    for (const change of changes) apply(change);
    for (const waiter of [...waiters]) waiter();
    return version;
  };
  const readRows = (query, response) => {
    const [table, part = ''] = [query.get('table'), query.get('part') ?? ''];
    const from = query.get('from') ?? '';
    const target = query.get('target');
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const found = [...rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .sort(byBytes)
      .filter(({ key }) => key >= from && (target === null || key < target));
    respond(response, 200, { rows: found.slice(0, limit), hasMore: found.length > limit });
  };
  const readFeed = (query, response) => {
    const table = query.get('table');
    const since = Number(query.get('sinceRev'));
    const waitMs = Math.min(30_000, Number(query.get('waitMs') ?? 0));
    const askedEra = era;
    for (const listener of feedListeners) listener(table);
    const tryAnswer = (isLast) => {
      if (response.destroyed) return true;
      if (askedEra !== era || since > version) {
        respond(response, 410, {});
        return true;
      }
      const changed = history.filter((row) => row.table === table && row.rowVersion > since);
      if (changed.length === 0 && !isLast) return false;
      respond(response, 200, { rows: changed });
      return true;
    };
    if (tryAnswer(waitMs === 0)) return;
    const stop = () => {
      clearTimeout(timer);
      waiters.delete(waiter);
    };
    const waiter = () => {
      if (tryAnswer(false)) stop();
    };
    const timer = setTimeout(() => {
      stop();
      tryAnswer(true);
    }, waitMs);
    waiters.add(waiter);
    response.once('close', stop);
  };
  const transact = (text, response) => {
    const { expectedRev = [], writes = [], remove = [] } = JSON.parse(text);
    if ([...writes, ...remove].some(({ table }) => RESERVED.has(table))) {
      respond(response, 403, {});
      return;
    }
    const current = expectedRev.map((row) => rows.get(idOf(row)) ?? { ...row, rowVersion: 0 });
    if (expectedRev.some((row, index) => row.rowVersion !== current[index].rowVersion)) {
      respond(response, 412, { rows: current });
      return;
    }
    commit([...writes, ...remove.map((row) => ({ ...row, value: undefined }))]);
    respond(response, 200, {});
  };
  const server = createServer((request, response) => {
    if (isAway) {
      response.destroy();
      return;
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      if (url.pathname === '/-/rows-get') readRows(url.searchParams, response);
      else if (url.pathname === '/-/rows-feed') readFeed(url.searchParams, response);
      else if (url.pathname === '/-/rows-tx') {
        setTimeout(() => {
          transact(Buffer.concat(chunks).toString(), response);
        }, TRANSACTION_MS);
      } else respond(response, 404, {});
    });
  });
  const address = await listen(server);
  return {
    address,
    /** Writes rows as the operator and the engines do; an undefined value removes a row. */
    put: (table, key, value) =>
      commit([
        {
          table,
          key,
          value:
            value === undefined
              ? undefined
              : Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString(
                  'base64',
                ),
        },
      ]),
    /** While the store is away, it resets all connections. */
    setAway: (next) => {
      isAway = next;
      if (next) server.closeAllConnections();
    },
    /** @returns the copy from which the store can come back */
    copy: () => ({ rows: new Map(rows), history: [...history], version }),
    /** Comes back from a copy: what was written since is gone, and an era begins. */
    setBack: (copy) => {
      rows.clear();
      for (const [id, row] of copy.rows) rows.set(id, row);
      history = [...copy.history];
      version = copy.version;
      era += 1;
      for (const waiter of [...waiters]) waiter();
    },
    /** Called with the table of each wait for changes, before it is answered. */
    onFeed: (listener) => {
      feedListeners.push(listener);
    },
    keys: (table) => [...rows.values()].filter((row) => row.table === table).map(({ key }) => key),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
