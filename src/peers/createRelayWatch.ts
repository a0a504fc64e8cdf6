/**
 * Notices relays that fell silent. Only a VM that should be heard directly can be found silent this way;
 * what is heard through relays stops for all VMs at once when a relay fails.
 */

export interface RelayWatch {
  readonly noteHeard: (vm: string) => void;
  /** Looks at the relays that this VM expects heartbeats of. */
  readonly check: (expected: readonly string[]) => void;
  readonly isSilent: (vm: string) => boolean;
}

/** Silence after which another VM takes a relay's place, milliseconds: three heartbeats. */
const SILENT_MS = 1_200;

/** Time after which a silent relay is expected again, milliseconds: a restart takes less. */
const RETRY_MS = 10_000;

/** @param now monotonic clock, milliseconds */
export function createRelayWatch(now: () => number): RelayWatch {
  /** When each expected relay was last heard, or first expected. */
  const heardMs = new Map<string, number>();
  const silentUntil = new Map<string, number>();
  return {
    noteHeard: (vm) => {
      silentUntil.delete(vm);
      if (heardMs.has(vm)) heardMs.set(vm, now());
    },
    check: (expected) => {
      for (const vm of heardMs.keys()) if (!expected.includes(vm)) heardMs.delete(vm);
      for (const vm of expected) {
        const sinceMs = heardMs.get(vm) ?? now();
        heardMs.set(vm, sinceMs);
        if (now() - sinceMs <= SILENT_MS) continue;
        silentUntil.set(vm, now() + RETRY_MS);
        heardMs.delete(vm);
      }
    },
    isSilent: (vm) => (silentUntil.get(vm) ?? 0) > now(),
  };
}
