/** Compares the outcomes that callers received with the requests that backend servers ran. */

import type { CallerOutcome, CallerRequestKind } from '../../platform/standins/sendRequest';

export interface SoakLedger {
  /** Records that a server began to run a request, with the pipeline stages that it was given. */
  readonly recordRun: (requestId: string, server: string, stages: string) => void;
  readonly recordOutcome: (
    requestId: string,
    kind: CallerRequestKind,
    outcome: CallerOutcome,
  ) => void;
  /** Number of requests with a complete answer. */
  readonly served: () => number;
  /** Violated guarantees, one line each. */
  readonly findings: () => readonly string[];
}

export interface SoakLedgerOptions {
  /** Layers that every path has to cover. */
  readonly layers: number;
  /** Body of a complete stream of a request. */
  readonly streamBody: (requestId: string) => string;
}

export function createSoakLedger({ layers, streamBody }: SoakLedgerOptions): SoakLedger {
  const runs = new Map<string, string[]>();
  const outcomes = new Map<
    string,
    { readonly kind: CallerRequestKind; readonly end: CallerOutcome }
  >();
  const pathViolations: string[] = [];
  const wholeBody: Readonly<Record<CallerRequestKind, (requestId: string) => string>> = {
    stream: streamBody,
    once: (requestId) => JSON.stringify({ requestId }),
    lookup: (requestId) => JSON.stringify({ requestId }),
  };
  const findViolation = (requestId: string): string | undefined => {
    const servers = runs.get(requestId) ?? [];
    const outcome = outcomes.get(requestId);
    const description = `${requestId} (${outcome?.kind ?? 'never sent'}, ran on ${servers.join(' ') || 'none'})`;
    if (outcome === undefined) return `ran without being sent: ${description}`;
    const { kind, end } = outcome;
    if (kind === 'once' && servers.length > 1) return `ran twice: ${description}`;
    if (end.type === 'refused' && servers.length > 0)
      return `said not to have run, and did: ${description}`;
    if (end.type !== 'whole') return undefined;
    if (!end.isSealed) return `answer without the server's signature: ${description}`;
    if (end.body !== wholeBody[kind](requestId))
      return `wrong answer taken as whole: ${description}`;
    return undefined;
  };
  return {
    recordRun: (requestId, server, stages) => {
      runs.set(requestId, [...(runs.get(requestId) ?? []), server]);
      if (stages !== '' && !coversAllLayers(stages, layers))
        pathViolations.push(`path ${stages}: ${requestId}`);
    },
    recordOutcome: (requestId, kind, end) => {
      outcomes.set(requestId, { kind, end });
    },
    served: () => [...outcomes.values()].filter(({ end }) => end.type === 'whole').length,
    findings: () => {
      const ids = new Set([...runs.keys(), ...outcomes.keys()]);
      return [
        ...pathViolations,
        ...[...ids].flatMap((requestId) => findViolation(requestId) ?? []),
      ];
    },
  };
}

/** Whether the stages of a path run every layer once and in order. */
function coversAllLayers(stages: string, layers: number): boolean {
  let nextLayer = 0;
  for (const stage of stages.split(',')) {
    const [from, to] = (stage.split('=')[1] ?? '').split('-').map(Number);
    if (from !== nextLayer || to === undefined || to <= nextLayer) return false;
    nextLayer = to;
  }
  return nextLayer === layers;
}
