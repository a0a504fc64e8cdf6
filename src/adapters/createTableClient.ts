/** HTTP client for the platform's table service; docs/CONTRACTS.md specifies the endpoints. */

import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type { ReadResult, Table, TransactionResult } from '../contracts/table';
import { classifyConnectionFailure } from './classifyConnectionFailure';
import { PLATFORM_TIMEOUT_MS } from './constants';
import { formatError } from './formatError';

const rowsSchema = z.object({
  rows: z.array(
    z.object({ table: z.string(), key: z.string(), value: z.string(), version: z.number() }),
  ),
});

const versionsSchema = z.object({ versions: z.array(z.number()) });

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

export interface TableClientOptions {
  /** Base URL of the service. */
  readonly url: string;
  readonly dispatcher: Dispatcher;
  readonly timeoutMs?: number;
}

/**
 * Creates a client. A write that was sent but whose reply was lost is `ambiguous`. A connection that
 * was never established, a 429 and a 503 are `unavailable`.
 *
 * @param options the base URL and the HTTP client
 */
export function createTableClient(options: TableClientOptions): Table {
  const { url, dispatcher, timeoutMs = PLATFORM_TIMEOUT_MS } = options;
  const post = async (path: string, body: unknown): Promise<Reply> => {
    const reply = await dispatcher.request({
      origin: url,
      path,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    return { status: reply.statusCode, body: await reply.body.json().catch(() => undefined) };
  };
  const readRows = async (path: string, body: unknown): Promise<ReadResult> => {
    try {
      const reply = await post(path, body);
      const checked = rowsSchema.safeParse(reply.body);
      if (reply.status === 200 && checked.success) return { type: 'rows', rows: checked.data.rows };
      return { type: 'unavailable', detail: `status ${reply.status}` };
    } catch (error) {
      return { type: 'unavailable', detail: formatError(error) };
    }
  };
  return {
    transact: async (transaction) => {
      try {
        return parseTransactionResult(await post('/v1/transactions', transaction));
      } catch (error) {
        const isUnsent = classifyConnectionFailure(error) === 'unreachable';
        return { type: isUnsent ? 'unavailable' : 'ambiguous', detail: formatError(error) };
      }
    },
    read: (table, keys) => readRows('/v1/reads', { table, keys }),
    range: (range) => readRows('/v1/ranges', range),
  };
}

function parseTransactionResult({ status, body }: Reply): TransactionResult {
  const versions = versionsSchema.safeParse(body);
  if (status === 200 && versions.success) {
    return { type: 'committed', versions: versions.data.versions };
  }
  const rows = rowsSchema.safeParse(body);
  if (status === 409 && rows.success) return { type: 'conflict', rows: rows.data.rows };
  if (status === 429 || status === 503) return { type: 'unavailable', detail: `status ${status}` };
  return { type: 'ambiguous', detail: `status ${status} with an unexpected body` };
}
