/** A stand-in for the platform's transactional table service; docs/CONTRACTS.md specifies its paths. */

import { z } from 'zod';
import type { Row } from '../../src/contracts/table';
import { withFaults } from '../http/faults';
import { startServer, type Answer, type Handler, type Server } from '../http/startServer';
import { formatRowKey, transactRows, type Rows } from './transactRows';

const transactionBody = z.object({
  conditions: z.array(z.object({ table: z.string(), key: z.string(), version: z.number() })),
  writes: z.array(
    z.object({
      table: z.string(),
      key: z.string(),
      value: z
        .string()
        .optional()
        .transform((value) => value),
    }),
  ),
});
const readsBody = z.object({ table: z.string(), keys: z.array(z.string()) });
const rangeBody = z.object({
  table: z.string(),
  from: z.string(),
  to: z.string().optional(),
  limit: z.number().int().positive(),
});

export interface TableOptions {
  readonly host?: string;
  readonly port?: number;
}

/**
 * Starts an empty table service.
 *
 * @param options the listen address
 */
export function startTable(options: TableOptions = {}): Promise<Server> {
  let rows: Rows = new Map();
  const handlers: Readonly<Record<string, (body: unknown) => Answer>> = {
    '/v1/transactions': (body) => {
      const parsed = transactionBody.parse(body);
      const writes = parsed.writes.map(({ table, key, value }) => ({ table, key, value }));
      const result = transactRows(rows, { conditions: parsed.conditions, writes });
      if (result.type === 'conflict') return { status: 409, body: { rows: result.failed } };
      rows = result.rows;
      return { status: 200, body: { versions: result.versions } };
    },
    '/v1/reads': (body) => {
      const { table, keys } = readsBody.parse(body);
      const found = keys.flatMap((key) => rows.get(formatRowKey(table, key)) ?? []);
      return { status: 200, body: { rows: found } };
    },
    '/v1/ranges': (body) => {
      const { table, from, to, limit } = rangeBody.parse(body);
      const isInside = (row: Row): boolean =>
        row.table === table && row.key >= from && (to === undefined || row.key < to);
      const found = [...rows.values()].filter(isInside).sort(byKey).slice(0, limit);
      return { status: 200, body: { rows: found } };
    },
  };
  const handler: Handler = ({ path, body }) => {
    const handle = handlers[path];
    if (handle === undefined) return { status: 404 };
    return handle(JSON.parse(body.toString()));
  };
  return startServer({ ...options, handler: withFaults(handler) });
}

function byKey(left: Row, right: Row): number {
  if (left.key === right.key) return 0;
  return left.key < right.key ? -1 : 1;
}
