/** Keeps the newest condition that each engine has reported, for as long as it is worth something. */

export interface EngineCondition {
  /** Step time as a multiple of the nominal step time of the engine's kind. */
  readonly pace: number;
  /** Share of the request memory in use, 0 to 1. */
  readonly memoryShare: number;
}

export interface EngineReports {
  readonly record: (id: string, condition: EngineCondition) => void;
  /** Whether a recent report of the engine is known. */
  readonly isRecent: (id: string) => boolean;
  /** Pace by the last report; 1 if none is recent. */
  readonly pace: (id: string) => number;
  /** Memory share by the last report; 0 if none is recent. */
  readonly memoryShare: (id: string) => number;
  /** Drops the reports of all other engines. */
  readonly retain: (ids: { readonly has: (id: string) => boolean }) => void;
}

/** Age at which a reported pace no longer counts. */
const PACE_VALID_MS = 4_000;

/** Age at which reported memory no longer counts; requests end within about a second. */
const MEMORY_VALID_MS = 800;

/**
 * @param now monotonic clock, milliseconds
 */
export function createEngineReports(now: () => number): EngineReports {
  const reports = new Map<string, EngineCondition & { readonly atMs: number }>();
  const findRecent = (id: string, validMs: number): EngineCondition | undefined => {
    const known = reports.get(id);
    return known !== undefined && now() - known.atMs < validMs ? known : undefined;
  };
  return {
    record: (id, { pace, memoryShare }) => {
      reports.set(id, { pace, memoryShare, atMs: now() });
    },
    isRecent: (id) => findRecent(id, PACE_VALID_MS) !== undefined,
    pace: (id) => findRecent(id, PACE_VALID_MS)?.pace ?? 1,
    memoryShare: (id) => findRecent(id, MEMORY_VALID_MS)?.memoryShare ?? 0,
    retain: (ids) => {
      for (const id of reports.keys()) if (!ids.has(id)) reports.delete(id);
    },
  };
}
