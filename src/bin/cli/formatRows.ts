/** Formats rows as a table. */

import Table from 'cli-table3';

/** One column: its heading, and the content of its cells. */
export interface Column<Row> {
  readonly heading: string;
  readonly cell: (row: Row) => unknown;
  /** Whether the column is shown only with `--output wide`. */
  readonly isWide?: boolean;
}

/**
 * Formats a table without borders.
 *
 * @param rows the rows, in order
 * @param columns the columns, in order
 * @param isWide whether to include the wide columns
 */
export function formatRows<Row>(
  rows: readonly Row[],
  columns: readonly Column<Row>[],
  isWide: boolean,
): string {
  const shown = columns.filter((column) => isWide || column.isWide !== true);
  const table = new Table({
    head: shown.map(({ heading }) => heading),
    style: { head: [], border: [], compact: true, 'padding-left': 0, 'padding-right': 2 },
    chars: BORDERLESS,
  });
  for (const row of rows) table.push(shown.map(({ cell }) => toText(cell(row))));
  return table.toString();
}

const BORDERLESS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '',
} as const;

function toText(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (typeof value === 'string') return value;
  if (typeof value === 'number' || typeof value === 'boolean') return String(value);
  return JSON.stringify(value);
}
