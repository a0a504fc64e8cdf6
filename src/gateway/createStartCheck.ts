/**
 * Decides when a VM that has started may rely on the catalog that it reads. A store that came back from an older copy may
 * hold an older catalog than the other VMs have in force, until operators have written again. A running VM keeps its
 * newer one; a VM that starts waits to hear of it, and then for the store to hold it.
 */

export interface StartCheck {
  /** Records a catalog that was read. */
  readonly recordRead: (catalog: ReadCatalog) => void;
  /** Records the version that another VM has in force. */
  readonly recordReported: (version: number) => void;
  /** Whether the catalog that was read last is known to be no older than those in force; stays true. */
  readonly isPassed: () => boolean;
}

export interface ReadCatalog {
  readonly version: number;
  /** Era of the store in which it was read; 0 for a store that has not lost anything. */
  readonly era: number;
}

/**
 * Time after its first read for which a VM waits for the other VMs, milliseconds. They find out that the store came back
 * within a second, and repeat their versions.
 */
const REPORTS_DUE_MS = 2_000;

/** @param now monotonic clock, milliseconds */
export function createStartCheck(now: () => number): StartCheck {
  let first: (ReadCatalog & { readonly atMs: number }) | undefined;
  let version: number | undefined;
  let reportedVersion = Number.NEGATIVE_INFINITY;
  let isPassed = false;

  const isCurrent = (): boolean => {
    if (first === undefined || version === undefined) return false;
    if (first.era === 0) return true;
    return now() - first.atMs >= REPORTS_DUE_MS && version >= reportedVersion;
  };
  return {
    recordRead: (catalog) => {
      first ??= { ...catalog, atMs: now() };
      version = catalog.version;
    },
    recordReported: (reported) => {
      reportedVersion = Math.max(reportedVersion, reported);
    },
    isPassed: () => {
      isPassed ||= isCurrent();
      return isPassed;
    },
  };
}
