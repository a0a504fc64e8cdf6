/** What callers were told and what backend servers ran, held against each other. */

import type { CallerOutcome, CallerRequestKind } from '../../platform/standins/sendRequest';

export interface SoakLedger {
  /** Notes that a server began to run a request, over the stages that it was given. */
  readonly noteRun: (requestId: string, server: string, stages: string) => void;
  readonly noteOutcome: (
    requestId: string,
    kind: CallerRequestKind,
    outcome: CallerOutcome,
  ) => void;
  /** Requests that were answered whole. */
  readonly served: () => number;
  /** Broken promises, one line each. */
  readonly findings: () => readonly string[];
}

export interface SoakLedgerOptions {
  /** Layers that every path has to cover. */
  readonly layers: number;
  /** What a whole stream of a request holds. */
  readonly streamBody: (requestId: string) => string;
}

/** Creates an empty ledger. */
export function createSoakLedger({ layers, streamBody }: SoakLedgerOptions): SoakLedger {
  const runs = new Map<string, string[]>();
  const outcomes = new Map<
    string,
    { readonly kind: CallerRequestKind; readonly end: CallerOutcome }
  >();
  const pathFaults: string[] = [];
  const wholeBody: Readonly<Record<CallerRequestKind, (requestId: string) => string>> = {
    stream: streamBody,
    once: (requestId) => JSON.stringify({ requestId }),
    lookup: (requestId) => JSON.stringify({ requestId }),
  };
  const judge = (requestId: string): string | undefined => {
    const ran = runs.get(requestId) ?? [];
    const outcome = outcomes.get(requestId);
    const where = `${requestId} (${outcome?.kind ?? 'never sent'}, ran on ${ran.join(' ') || 'none'})`;
    if (outcome === undefined) return `ran without being sent: ${where}`;
    const { kind, end } = outcome;
    if (kind === 'once' && ran.length > 1) return `ran twice: ${where}`;
    if (end.type === 'refused' && ran.length > 0) return `said not to have run, and did: ${where}`;
    if (end.type !== 'whole') return undefined;
    if (!end.isSealed) return `answer without the server's signature: ${where}`;
    if (end.body !== wholeBody[kind](requestId)) return `wrong answer taken as whole: ${where}`;
    return undefined;
  };
  return {
    noteRun: (requestId, server, stages) => {
      runs.set(requestId, [...(runs.get(requestId) ?? []), server]);
      if (stages !== '' && !tiles(stages, layers)) pathFaults.push(`path ${stages}: ${requestId}`);
    },
    noteOutcome: (requestId, kind, end) => {
      outcomes.set(requestId, { kind, end });
    },
    served: () => [...outcomes.values()].filter(({ end }) => end.type === 'whole').length,
    findings: () => {
      const ids = new Set([...runs.keys(), ...outcomes.keys()]);
      return [...pathFaults, ...[...ids].flatMap((requestId) => judge(requestId) ?? [])];
    },
  };
}

/** Whether a path runs every layer once and in order. */
function tiles(stages: string, layers: number): boolean {
  let at = 0;
  for (const stage of stages.split(',')) {
    const [from, to] = (stage.split('=')[1] ?? '').split('-').map(Number);
    if (from !== at || to === undefined || to <= at) return false;
    at = to;
  }
  return at === layers;
}
