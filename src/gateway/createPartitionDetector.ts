/**
 * Finds out whether this VM is partitioned from all backend servers: new connections to several of them fail at
 * the same time. One server that fails is suspected by itself. Connections are checked without requests, so the
 * checks cost the servers next to nothing.
 */

import type { ListedServer } from '../chains/layerEngine';
import type { LogFields } from './job';

type Server = Pick<ListedServer, 'id' | 'address'>;

/** A connection that is being opened. */
export interface OpeningConnection {
  readonly succeeded: () => void;
  readonly failed: () => void;
}

export interface PartitionDetector {
  /** Follows a connection to a backend server from its begin. */
  readonly trackConnection: () => OpeningConnection;
  readonly isPartitioned: () => boolean;
  /** Checks some servers unless the VM is known to be partitioned; resolves to whether it is. */
  readonly verify: () => Promise<boolean>;
  /** Checks some servers again while the VM is partitioned; called periodically. */
  readonly recheck: () => Promise<void>;
  /** Called when a partition begins, and when it ends with the time at which it began. */
  readonly onChange: (listener: (isPartitioned: boolean, sinceMs: number) => void) => void;
}

export interface PartitionDetectorOptions {
  /** Backend servers that are listed and not draining. */
  readonly servers: () => readonly Server[];
  readonly checkConnection: (address: string) => Promise<'accepted' | 'refused' | 'silent'>;
  /** Monotonic clock, milliseconds. */
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly log: (message: string, fields: LogFields) => void;
  readonly count: (counter: string, label?: string) => void;
  readonly callLater: (run: () => void, delayMs: number) => void;
}

/** Time after which an opening connection is late, many times the longest round trip, milliseconds. */
const LATE_CONNECTION_MS = 80;

/** Servers that are checked at once: a VM that misses some servers must not seem to miss all. */
const CHECKED_SERVERS = 8;

/** Creates a detector of a VM that is not partitioned. */
export function createPartitionDetector(options: PartitionDetectorOptions): PartitionDetector {
  const { servers, checkConnection, now, random, log, count, callLater } = options;
  let sinceMs: number | undefined;
  let connectedMs = Number.NEGATIVE_INFINITY;
  let verification: Promise<boolean> | undefined;
  const listeners: ((isPartitioned: boolean, sinceMs: number) => void)[] = [];

  const recordSuccess = (): void => {
    connectedMs = now();
    if (sinceMs === undefined) return;
    const beganMs = sinceMs;
    sinceMs = undefined;
    log('backend servers reachable again', { forMs: Math.round(now() - beganMs) });
    for (const listener of listeners) listener(false, beganMs);
  };
  const chooseServers = (): readonly Server[] =>
    servers()
      .map((server) => ({ server, rank: random() }))
      .sort((one, other) => one.rank - other.rank)
      .slice(0, CHECKED_SERVERS)
      .map(({ server }) => server);
  const checkServer = async ({ address }: Server): Promise<boolean> => {
    const isAccepted = (await checkConnection(address)) === 'accepted';
    if (isAccepted) recordSuccess();
    return isAccepted;
  };
  /**
   * Resolves to whether one of some servers accepts a connection, as soon as one does; undefined if none is
   * listed.
   */
  const checkSome = async (): Promise<boolean | undefined> => {
    const checks = chooseServers().map(checkServer);
    if (checks.length === 0) return undefined;
    const accepted = new Promise<boolean>((resolve) => {
      for (const check of checks) {
        void check.then((isAccepted) => {
          if (isAccepted) resolve(true);
        });
      }
    });
    const none = Promise.all(checks).then((results) => results.includes(true));
    return Promise.race([accepted, none]);
  };
  const runVerification = async (): Promise<boolean> => {
    const startedMs = now();
    const isReached = await checkSome();
    verification = undefined;
    if (sinceMs !== undefined) return true;
    if (isReached !== false || connectedMs >= startedMs) return false;
    sinceMs = startedMs;
    count('partitions');
    log('backend servers not reachable', {
      checked: CHECKED_SERVERS,
      tookMs: Math.round(now() - startedMs),
    });
    for (const listener of listeners) listener(true, startedMs);
    return true;
  };
  const verify = (): Promise<boolean> => {
    if (sinceMs !== undefined) return Promise.resolve(true);
    verification ??= runVerification();
    return verification;
  };
  return {
    trackConnection: () => {
      let isOpening = true;
      callLater(() => {
        if (isOpening) void verify();
      }, LATE_CONNECTION_MS);
      return {
        succeeded: () => {
          isOpening = false;
          recordSuccess();
        },
        failed: () => {
          isOpening = false;
          void verify();
        },
      };
    },
    isPartitioned: () => sinceMs !== undefined,
    verify,
    recheck: async () => {
      if (sinceMs !== undefined) await checkSome();
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
  };
}
