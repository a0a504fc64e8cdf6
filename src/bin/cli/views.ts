/** Formats replies to operators as text. */

import type { Change } from '../../configuration/configuration';
import { formatRows } from './formatRows';
import type { Column } from './formatRows';

type Fields = Readonly<Record<string, unknown>>;

/** Formats the body of a reply; `isWide` includes all columns. */
export type FormatBody = (body: unknown, isWide: boolean) => string;

const createColumn = (heading: string, name: string, isWide = false): Column<Fields> => ({
  heading,
  cell: (row) => readPath(row, name),
  isWide,
});

const createListFormatter =
  (name: string, columns: readonly Column<Fields>[]): FormatBody =>
  (body, isWide) =>
    formatRows((body as Readonly<Record<string, readonly Fields[]>>)[name] ?? [], columns, isWide);

/** Formats one row for each property. */
export const formatFields: FormatBody = (body, isWide) => {
  const columns = [createColumn('FIELD', 'name'), createColumn('VALUE', 'value')];
  const rows = Object.entries(body as Fields).map(([name, value]) => ({ name, value }));
  return formatRows(rows, columns, isWide);
};

export const formatVms: FormatBody = createListFormatter('vms', [
  createColumn('VM', 'id'),
  createColumn('STATUS', 'status'),
  createColumn('ACCEPTS', 'isAccepting'),
  createColumn('DRAINS', 'isDraining'),
  createColumn('REVISION', 'revision'),
  createColumn('HEARD MS AGO', 'heardMsAgo'),
  createColumn('LISTED', 'listing', true),
  createColumn('DOMAIN', 'failureDomain', true),
  createColumn('HTTP', 'http', true),
  createColumn('INCARNATION', 'incarnation', true),
]);

export const formatBackends: FormatBody = createListFormatter('backends', [
  createColumn('BACKEND SERVER', 'id'),
  createColumn('KIND', 'kind'),
  createColumn('USABLE', 'isUsable'),
  createColumn('STATE', 'state'),
  createColumn('WORD MS AGO', 'wordMsAgo'),
  createColumn('MODEL', 'model'),
  createColumn('LAYERS', 'layers'),
  createColumn('ROLE', 'role', true),
  createColumn('WEIGHT', 'weight', true),
  createColumn('VIA', 'wordVia', true),
  createColumn('FAILURES', 'failuresInRow', true),
  createColumn('EJECTIONS', 'ejections', true),
  createColumn('ADDRESS', 'address', true),
]);

export const formatPlans: FormatBody = createListFormatter('plans', [
  createColumn('PLAN', 'id'),
  createColumn('STATUS', 'status'),
  createColumn('OPERATOR', 'operator'),
  createColumn('SUMMARY', 'summary'),
  createColumn('REASON', 'reason', true),
  createColumn('CONFIRMED BY', 'confirmedBy', true),
  createColumn('STEP', 'step', true),
  createColumn('CAUSE', 'cause', true),
]);

export const formatAudit: FormatBody = createListFormatter('entries', [
  createColumn('NO', 'sequence'),
  {
    heading: 'WHEN',
    cell: ({ wallMs }) => new Date(Number(wallMs)).toISOString(),
  },
  createColumn('WHO', 'who'),
  createColumn('ACTION', 'action'),
  createColumn('WHAT', 'what'),
  createColumn('WHY', 'why'),
  createColumn('PLAN', 'plan', true),
  createColumn('BEFORE', 'revisionBefore', true),
  createColumn('AFTER', 'revisionAfter', true),
  createColumn('FENCING', 'fencing', true),
]);

/** Formats a request as fields and one line for each entry of its history, or a backend server as fields. */
export const formatExplanation: FormatBody = (body, isWide) => {
  const { course, ...rest } = body as Fields;
  const entries = Array.isArray(course) ? (course as readonly Fields[]) : [];
  const lines = entries.map(
    ({ wallMs, what }) => `${new Date(Number(wallMs)).toISOString()}  ${String(what)}`,
  );
  return [formatFields(rest, isWide), ...lines].join('\n');
};

/** Formats a plan for the operator to review before confirming it. */
export const formatPlan: FormatBody = (body, isWide) => {
  const { plan = body, status } = body as Fields;
  const { id, summary, basedOn, steps, throughput, cost, risks, rejected } = plan as Fields;
  const lines = (name: string, items: unknown): readonly string[] =>
    Array.isArray(items) && items.length > 0
      ? [`${name}:`, ...items.map((item) => `  ${formatValue(item)}`)]
      : [];
  return [
    `plan ${formatValue(id)} (${formatValue(status ?? 'proposed')}): ${formatValue(summary)}`,
    `based on revision ${formatValue(basedOn)}`,
    ...lines('steps', isWide ? steps : summariseSteps(steps)),
    ...lines('tokens a second', throughput),
    ...lines('cost', cost === undefined ? [] : [cost]),
    ...lines('risks', risks),
    ...lines('weighed and rejected', rejected),
  ].join('\n');
};

function summariseSteps(steps: unknown): readonly unknown[] {
  if (!Array.isArray(steps)) return [];
  return (steps as readonly Fields[]).map(({ type, changes, engine, backendServer }) => {
    const named = Array.isArray(changes) ? (changes as readonly Change[]).map(formatChange) : [];
    const parts = [type, engine, backendServer, ...named].filter((part) => part !== undefined);
    return parts.map(formatValue).join(' ');
  });
}

function formatChange({ type, kind, key }: Change): string {
  return `${type} ${kind} ${key}`;
}

function formatValue(item: unknown): string {
  return typeof item === 'string' ? item : JSON.stringify(item);
}

function readPath(row: Fields, path: string): unknown {
  return path
    .split('.')
    .reduce<unknown>(
      (value, name) =>
        typeof value === 'object' && value !== null ? (value as Fields)[name] : undefined,
      row,
    );
}
