/** How the answers to operators are shown as tables. */

import type { Change } from '../../configuration/configuration';
import { formatRows } from './formatRows';
import type { Column } from './formatRows';

type Fields = Readonly<Record<string, unknown>>;

/** Shows a body as text; `isWide` asks for all columns. */
export type Show = (body: unknown, isWide: boolean) => string;

const field = (heading: string, name: string, isWide = false): Column<Fields> => ({
  heading,
  cell: (row) => readPath(row, name),
  isWide,
});

const list =
  (name: string, columns: readonly Column<Fields>[]): Show =>
  (body, isWide) =>
    formatRows((body as Readonly<Record<string, readonly Fields[]>>)[name] ?? [], columns, isWide);

/** One row a property. */
export const showFields: Show = (body, isWide) => {
  const columns = [field('FIELD', 'name'), field('VALUE', 'value')];
  const rows = Object.entries(body as Fields).map(([name, value]) => ({ name, value }));
  return formatRows(rows, columns, isWide);
};

export const showVms: Show = list('vms', [
  field('VM', 'id'),
  field('STATUS', 'status'),
  field('ACCEPTS', 'isAccepting'),
  field('DRAINS', 'isDraining'),
  field('REVISION', 'revision'),
  field('HEARD MS AGO', 'heardMsAgo'),
  field('LISTED', 'listing', true),
  field('DOMAIN', 'failureDomain', true),
  field('HTTP', 'http', true),
  field('INCARNATION', 'incarnation', true),
]);

export const showBackends: Show = list('backends', [
  field('BACKEND SERVER', 'id'),
  field('KIND', 'kind'),
  field('USABLE', 'isUsable'),
  field('STATE', 'state'),
  field('WORD MS AGO', 'wordMsAgo'),
  field('MODEL', 'model'),
  field('LAYERS', 'layers'),
  field('ROLE', 'role', true),
  field('WEIGHT', 'weight', true),
  field('VIA', 'wordVia', true),
  field('FAILURES', 'failuresInRow', true),
  field('EJECTIONS', 'ejections', true),
  field('ADDRESS', 'address', true),
]);

export const showPlans: Show = list('plans', [
  field('PLAN', 'id'),
  field('STATUS', 'status'),
  field('OPERATOR', 'operator'),
  field('SUMMARY', 'summary'),
  field('REASON', 'reason', true),
  field('CONFIRMED BY', 'confirmedBy', true),
  field('STEP', 'step', true),
  field('CAUSE', 'cause', true),
]);

export const showAudit: Show = list('entries', [
  field('NO', 'sequence'),
  {
    heading: 'WHEN',
    cell: ({ wallMs }) => new Date(Number(wallMs)).toISOString(),
  },
  field('WHO', 'who'),
  field('ACTION', 'action'),
  field('WHAT', 'what'),
  field('WHY', 'why'),
  field('PLAN', 'plan', true),
  field('BEFORE', 'revisionBefore', true),
  field('AFTER', 'revisionAfter', true),
  field('FENCING', 'fencing', true),
]);

/** A request's course, one line an entry; a backend server as fields. */
export const showExplained: Show = (body, isWide) => {
  const { course, ...rest } = body as Fields;
  const entries = Array.isArray(course) ? (course as readonly Fields[]) : [];
  const lines = entries.map(
    ({ wallMs, what }) => `${new Date(Number(wallMs)).toISOString()}  ${String(what)}`,
  );
  return [showFields(rest, isWide), ...lines].join('\n');
};

/** A plan as the operator has to read it before confirming. */
export const showPlan: Show = (body, isWide) => {
  const { plan = body, status } = body as Fields;
  const { id, summary, basedOn, steps, throughput, cost, risks, rejected } = plan as Fields;
  const lines = (name: string, items: unknown): readonly string[] =>
    Array.isArray(items) && items.length > 0
      ? [`${name}:`, ...items.map((item) => `  ${toLine(item)}`)]
      : [];
  return [
    `plan ${toLine(id)} (${toLine(status ?? 'proposed')}): ${toLine(summary)}`,
    `based on revision ${toLine(basedOn)}`,
    ...lines('steps', isWide ? steps : summarise(steps)),
    ...lines('tokens a second', throughput),
    ...lines('cost', cost === undefined ? [] : [cost]),
    ...lines('risks', risks),
    ...lines('weighed and rejected', rejected),
  ].join('\n');
};

function summarise(steps: unknown): readonly unknown[] {
  if (!Array.isArray(steps)) return [];
  return (steps as readonly Fields[]).map(({ type, changes, engine, backendServer }) => {
    const named = Array.isArray(changes) ? (changes as readonly Change[]).map(nameChange) : [];
    const parts = [type, engine, backendServer, ...named].filter((part) => part !== undefined);
    return parts.map(toLine).join(' ');
  });
}

function nameChange({ type, kind, key }: Change): string {
  return `${type} ${kind} ${key}`;
}

function toLine(item: unknown): string {
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
