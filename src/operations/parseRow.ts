/** Parses the JSON value of a row. */

import type { z } from 'zod';
import type { Row } from '../contracts/table';

/** @returns undefined if the value is not JSON or does not match the schema */
export function parseRow<Value>(row: Row, schema: z.ZodType<Value>): Value | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(row.value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
