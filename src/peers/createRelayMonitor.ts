/**
 * Detects silent relays. It checks only VMs whose heartbeats come directly: reports that a relay
 * forwards stop for all VMs at once when that relay fails.
 */

export interface RelayMonitor {
  readonly recordHeartbeat: (vm: string) => void;
  /** Checks the relays from which this VM expects heartbeats. */
  readonly check: (expected: readonly string[]) => void;
  readonly isSilent: (vm: string) => boolean;
}

/** Silence after which another VM replaces a relay, milliseconds: three heartbeats. */
const SILENCE_TIMEOUT_MS = 1_200;

/** Time after which a silent relay is used again, milliseconds; a restart takes less. */
const SILENT_RELAY_RETRY_MS = 10_000;

/** @param now monotonic clock, milliseconds */
export function createRelayMonitor(now: () => number): RelayMonitor {
  /** Time of each expected relay's last heartbeat, or the time from which it is expected. */
  const lastSeenMs = new Map<string, number>();
  const silentUntilMs = new Map<string, number>();
  return {
    recordHeartbeat: (vm) => {
      silentUntilMs.delete(vm);
      if (lastSeenMs.has(vm)) lastSeenMs.set(vm, now());
    },
    check: (expected) => {
      for (const vm of lastSeenMs.keys()) if (!expected.includes(vm)) lastSeenMs.delete(vm);
      for (const vm of expected) {
        const sinceMs = lastSeenMs.get(vm) ?? now();
        lastSeenMs.set(vm, sinceMs);
        if (now() - sinceMs <= SILENCE_TIMEOUT_MS) continue;
        silentUntilMs.set(vm, now() + SILENT_RELAY_RETRY_MS);
        lastSeenMs.delete(vm);
      }
    },
    isSilent: (vm) => (silentUntilMs.get(vm) ?? 0) > now(),
  };
}
