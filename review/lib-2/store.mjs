/**
 * Stand-in for the platform's store: rows of tables with an empty part, long polls for changes, and transactions.
 * Each process reaches it at an address of its own, so it can be turned away by itself. The store can come back from
 * an older copy, as in a drill.
 */

import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { listen } from './listen.mjs';

const encode = (value) => Buffer.from(JSON.stringify(value), 'utf8').toString('base64');

export function createStore() {
  let version = 0;
  let era = 0;
  let journal = [];
  let rows = new Map();
  const waiters = new Set();
  const servers = [];

  const apply = ({ table, key, value }) => {
    const change = { table, key, value, version };
    if (value === undefined) rows.delete(`${table}/${key}`);
    else rows.set(`${table}/${key}`, change);
    journal = [...journal, change];
  };
  const notify = () => {
    for (const waiter of [...waiters]) waiter();
  };
  const toRow =
    (mapValue) =>
    ({ table, key, value, version: rowVersion }) => ({
      table,
      part: '',
      key,
      rowVersion,
      ...(value === undefined ? { deleted: true } : { value: mapValue(table, value) }),
    });
  const respond = (response, status, body) => {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(era) });
    response.end(
      JSON.stringify({ ...body, rowVersion: version, nowMs: Math.round(process.uptime() * 1_000) }),
    );
  };
  const sendRows = (query, response, mapValue) => {
    const table = query.get('table');
    const found = [...rows.values()].filter((row) => row.table === table);
    respond(response, 200, { rows: found.map(toRow(mapValue)), hasMore: false });
  };
  const sendChanges = (query, response, mapValue) => {
    const table = query.get('table');
    const since = Number(query.get('sinceRev'));
    const answer = (isLast) => {
      if (since > version) {
        respond(response, 410, {});
        return true;
      }
      const changes = journal.filter((change) => change.table === table && change.version > since);
      if (changes.length === 0 && !isLast) return false;
      respond(response, 200, { rows: changes.map(toRow(mapValue)) });
      return true;
    };
    if (answer(false)) return;
    const stop = () => {
      clearTimeout(timer);
      waiters.delete(waiter);
    };
    const waiter = () => {
      if (answer(false)) stop();
    };
    const timer = setTimeout(
      () => {
        stop();
        answer(true);
      },
      Number(query.get('waitMs')),
    );
    waiters.add(waiter);
    response.once('close', stop);
  };
  const transact = (text, response, mapValue) => {
    const { expectedRev = [], writes = [], remove = [] } = JSON.parse(text);
    const versionOf = ({ table, key }) => rows.get(`${table}/${key}`)?.version ?? 0;
    if (expectedRev.some((row) => versionOf(row) !== row.rowVersion)) {
      const current = expectedRev.flatMap(({ table, key }) => rows.get(`${table}/${key}`) ?? []);
      respond(response, 412, { rows: current.map(toRow(mapValue)) });
      return;
    }
    version += 1;
    for (const { table, key, value } of writes) apply({ table, key, value });
    for (const { table, key } of remove) apply({ table, key });
    notify();
    respond(response, 200, {});
  };
  const serve = (request, response, mapValue) => {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    if (pathname === '/-/rows-get') sendRows(searchParams, response, mapValue);
    else if (pathname === '/-/rows-feed') sendChanges(searchParams, response, mapValue);
    else {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => transact(Buffer.concat(chunks).toString(), response, mapValue));
    }
  };
  let isAway = false;
  return {
    /**
     * Opens an address for one process; `turnAway` stops to answer there until it is called with false.
     *
     * @param mapValue maps the encoded values that the process reads
     */
    openAddress: async (mapValue = (_, value) => value) => {
      let isTurnedAway = false;
      const server = createServer((request, response) => {
        if (!isAway && !isTurnedAway) serve(request, response, mapValue);
      });
      servers.push(server);
      const address = await listen(server);
      return {
        address,
        turnAway: (isRefused) => {
          isTurnedAway = isRefused;
          server.closeAllConnections();
        },
      };
    },
    /** Writes a row as operators and engines do; undefined removes it. */
    put: (table, key, value) => {
      version += 1;
      apply({ table, key, value: value === undefined ? undefined : encode(value) });
      notify();
      return version;
    },
    version: () => version,
    /** Stops to answer anyone. */
    goAway: () => {
      isAway = true;
      for (const server of servers) server.closeAllConnections();
    },
    /** Answers again, from the copy of a version; later changes are gone and their versions are given out again. */
    comeBackFrom: (copyVersion) => {
      const kept = journal.filter((change) => change.version <= copyVersion);
      journal = [];
      rows = new Map();
      for (const change of kept) {
        version = change.version;
        apply(change);
      }
      version = copyVersion;
      era += 1;
      isAway = false;
    },
    close: () => {
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}
