/**
 * Callers of the fault soak that send requests of one content, which end each server that runs them, from a
 * moment of the run to its end.
 */

import { setTimeout as sleep } from 'node:timers/promises';
import type { CallerRequest, CallerRequestKind } from '../../platform/standins/sendRequest';
import { sendRequest } from '../../platform/standins/sendRequest';
import type { RequestHead } from '../../platform/standins/engineStandin';
import { HEADER } from '../../platform/headers';
import { createRandom } from '../../src/random/createRandom';
import type { DisturbanceRecord } from './createDisturbanceRecord';
import { createFatalContentRecord, SETTLE_MS } from './createFatalContentRecord';
import type { SoakSite } from './soakFaults';
import type { SoakLedger } from './soakLedger';

export const FATAL_KINDS = ['lookup', 'stream', 'part'] as const;

export type FatalKind = (typeof FATAL_KINDS)[number];

interface FatalContent {
  readonly kind: CallerRequestKind;
  /** Servers that may end before the content is refused. */
  readonly maxEnds: number;
  /** What its requests have in common, and what they differ in. */
  readonly createRequest: (number: number) => Pick<CallerRequest, 'subpath' | 'sharedParts'>;
}

const FATAL_SUBPATH = 'fatal';
const FATAL_PART = 'bad0';

/** First part of the prompts of all streams, sound ones too. */
export const FIRST_PART = 'a0';

const CONTENTS: Readonly<Record<FatalKind, FatalContent>> = {
  lookup: { kind: 'lookup', maxEnds: 3, createRequest: () => ({ subpath: FATAL_SUBPATH }) },
  stream: { kind: 'stream', maxEnds: 3, createRequest: () => ({ subpath: FATAL_SUBPATH }) },
  part: {
    kind: 'stream',
    maxEnds: 5,
    createRequest: (number) => ({
      subpath: `draft-${number}`,
      sharedParts: [FIRST_PART, FATAL_PART],
    }),
  },
};

const MEAN_GAP_MS = 400;

/** Longest time from the start of the traffic to the first request. */
const MAX_START_MS = 1_500;

/** What callers record, and the seed of what they do. */
export interface SoakRecords {
  readonly ledger: SoakLedger;
  readonly disturbances: DisturbanceRecord;
  readonly seed: number;
}

export interface FatalCallers {
  /** Records a run if its request belongs to a fatal content. */
  readonly recordRun: (requestId: string) => void;
  /** Starts the callers; they send until `stop`, and at least for some time after VMs must have learned. */
  readonly start: (site: SoakSite) => { readonly stop: () => Promise<void> };
  readonly findings: () => readonly string[];
}

/** Whether a request ends the server that runs it. */
export const isFatalRequest = ({ path, headers }: RequestHead): boolean =>
  path.endsWith(FATAL_SUBPATH) || String(headers[HEADER.promptParts]).includes(FATAL_PART);

/** Creates the callers of one content. */
export function createFatalCallers(
  fatalKind: FatalKind,
  { ledger, disturbances, seed }: SoakRecords,
): FatalCallers {
  const { kind, maxEnds, createRequest } = CONTENTS[fatalKind];
  const record = createFatalContentRecord(maxEnds);
  const prefix = `fatal-${fatalKind}-`;
  const random = createRandom(seed);
  let sent = 0;
  const send = async ({ gateways }: SoakSite): Promise<void> => {
    sent += 1;
    const id = prefix + String(sent);
    ledger.recordSending(id, kind);
    const first = random.integer(gateways.length);
    const ordered = [...gateways.slice(first), ...gateways.slice(0, first)];
    const exchange = await sendRequest({
      ...createRequest(sent),
      id,
      kind,
      directories: ordered.map(({ directory }) => directory),
      pick: random.pick,
    });
    if (exchange === undefined) return;
    const { address, sentMs, endedMs, outcome } = exchange;
    const gateway = gateways.find((one) => one.address === address);
    record.recordRequest(
      id,
      `fatal ${fatalKind}`,
      gateway?.wasDisturbed(sentMs - SETTLE_MS, endedMs) === false,
    );
    ledger.recordOutcome(id, outcome, {
      wasGatewayDisturbed: disturbances.wasDisturbed(id, { gateways, address, sentMs, endedMs }),
      elapsedMs: endedMs - sentMs,
    });
  };
  return {
    recordRun: (requestId) => {
      if (requestId.startsWith(prefix)) record.recordRun(requestId, performance.now());
    },
    start: (site) => {
      const startedMs = performance.now();
      let isStopping = false;
      const pending = new Set<Promise<void>>();
      const loop = async (): Promise<void> => {
        await sleep(random.next() * MAX_START_MS);
        while (!isStopping || performance.now() - startedMs < 2 * SETTLE_MS) {
          const request: Promise<void> = send(site).finally(() => pending.delete(request));
          pending.add(request);
          await sleep(random.exponential(MEAN_GAP_MS));
        }
      };
      const running = loop();
      return {
        stop: async () => {
          isStopping = true;
          await running;
          await Promise.all(pending);
        },
      };
    },
    findings: record.findings,
  };
}
