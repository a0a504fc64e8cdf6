/** Writes what was sent, answered and run to record.txt, one line an event, with the time since the start. */

import { appendFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';

/** Milliseconds of the steady clock. */
export const now = () => performance.now();

/** @param folder folder of the case */
export function createRecord(folder) {
  const file = join(folder, 'record.txt');
  const startMs = now();
  writeFileSync(file, '');
  return {
    startMs,
    /**
     * @param options.atMs time of the event, steady clock
     * @param options.isQuiet whether it is not printed too
     */
    write: (event, fields = {}, { atMs = now(), isQuiet = false } = {}) => {
      const text = Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
        .join(' ');
      const line = `${((atMs - startMs) / 1000).toFixed(3)} ${event} ${text}`.trimEnd();
      appendFileSync(file, `${line}\n`);
      if (!isQuiet) console.log(line);
    },
  };
}
