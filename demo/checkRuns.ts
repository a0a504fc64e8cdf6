/** Compares the stand-ins' logs of what ran with the outcomes that callers received. */

import type { EngineLogEntry } from '../standins/engine/startEngine';
import type { PlainRun } from '../standins/plainService/startPlainService';
import { callJson } from './http';
import type { Platform, StandIn } from './startPlatform';

export interface RunCheck {
  /** Writes that ran more than once, under the same or another operation id. */
  readonly doubled: number;
  /** Writes that ran although their caller was told `not-run`. */
  readonly falseNotRun: readonly string[];
  /** Layers that ran twice for one token of one attempt. */
  readonly doubledLayers: number;
}

/** A trailing `-N` numbers the caller's attempts at one write. */
const ATTEMPT = /-\d+$/;

/**
 * Checks all logs that are still readable; the log of a killed engine is not.
 *
 * @param platform the stand-ins
 * @param notRun reason by path, for writes that were refused as not run
 */
export async function checkRuns(
  platform: Platform,
  notRun: ReadonlyMap<string, string>,
): Promise<RunCheck> {
  const plain = await readLogs<PlainRun>(platform.plain);
  const writes = plain.filter(({ method }) => method === 'POST').map(({ path }) => path);
  const layers = (await readLogs<EngineLogEntry>(platform.engines)).flatMap(listLayers);
  return {
    doubled: countRepeats(writes.map((path) => path.replace(ATTEMPT, ''))),
    falseNotRun: writes.filter((path) => notRun.has(path)),
    doubledLayers: countRepeats(layers),
  };
}

async function readLogs<Run>(standIns: ReadonlyMap<string, StandIn>): Promise<readonly Run[]> {
  const logs = await Promise.allSettled(
    [...standIns.values()].map(({ url }) => callJson(`${url}/log`)),
  );
  return logs.flatMap((log) =>
    log.status === 'fulfilled' ? (log.value.body as { readonly runs: readonly Run[] }).runs : [],
  );
}

function listLayers({ request, attempt, position, from, to }: EngineLogEntry): readonly string[] {
  return Array.from(
    { length: to - from },
    (_, at) => `${request}/${attempt}/${position}/${from + at}`,
  );
}

function countRepeats(items: readonly string[]): number {
  return items.length - new Set(items).size;
}
