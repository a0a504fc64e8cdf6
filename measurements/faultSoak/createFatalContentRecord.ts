/**
 * Records the runs of contents that end each server which begins to run them, and finds those that VMs should
 * have refused: once enough servers have ended, and the VMs have had time to tell each other, few more may run.
 */

export interface FatalContentRecord {
  /** Records a run before its server ends. */
  readonly recordRun: (requestId: string, atMs: number) => void;
  /**
   * @param content what the request has in common with others
   * @param isFromSettledVm whether the VM that took it ran undisturbed for `SETTLE_MS` before
   */
  readonly recordRequest: (requestId: string, content: string, isFromSettledVm: boolean) => void;
  /** Violations, one line each. */
  readonly findings: () => readonly string[];
}

/** Time for VMs to learn of an end, and to count as settled after a disturbance, milliseconds. */
export const SETTLE_MS = 3_000;

/** Further runs that are allowed, for requests that were under way. */
const MAX_FURTHER_RUNS = 3;

interface FatalRequest {
  readonly content: string;
  readonly isFromSettledVm: boolean;
}

/**
 * @param maxEnds servers that may end before the content is refused
 */
export function createFatalContentRecord(maxEnds: number): FatalContentRecord {
  const requests = new Map<string, FatalRequest>();
  const runs: { readonly requestId: string; readonly atMs: number }[] = [];
  return {
    recordRun: (requestId, atMs) => {
      runs.push({ requestId, atMs });
    },
    recordRequest: (requestId, content, isFromSettledVm) => {
      requests.set(requestId, { content, isFromSettledVm });
    },
    findings: () => {
      const contents = new Set([...requests.values()].map(({ content }) => content));
      return [...contents].flatMap((content) => {
        const own = runs.filter(({ requestId }) => requests.get(requestId)?.content === content);
        const dueMs = (own[maxEnds - 1]?.atMs ?? Infinity) + SETTLE_MS;
        const further = own.filter(
          ({ requestId, atMs }) => atMs > dueMs && requests.get(requestId)?.isFromSettledVm,
        );
        return further.length > MAX_FURTHER_RUNS
          ? [`${content} ran ${further.length} times more, ${own.length} in all`]
          : [];
      });
    },
  };
}
