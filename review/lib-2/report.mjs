/** Record of a run, and its result as an exit code. */

import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { URL } from 'node:url';

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the run has the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** @param moduleUrl URL of the case's program, beside which `record.txt` is written */
export function createReport(moduleUrl) {
  const lines = [];
  const startedMs = performance.now();
  const nowMs = () => performance.now() - startedMs;
  const note = (text) => lines.push(`${nowMs().toFixed(0).padStart(7)} ms  ${text}`);
  return {
    nowMs,
    note,
    /** Runs the case, ends what it has started and exits. */
    run: async (play, end) => {
      let result = NOT_RUN;
      const abandon = () => {
        end();
        process.exit(NOT_RUN);
      };
      for (const event of ['uncaughtException', 'unhandledRejection', 'SIGTERM', 'SIGINT'])
        process.on(event, abandon);
      try {
        result = await play();
      } catch (error) {
        note(String(error?.stack ?? error));
      } finally {
        end();
        note(`result ${result}`);
        writeFileSync(new URL('record.txt', moduleUrl), `${lines.join('\n')}\n`);
      }
      process.exit(result);
    },
  };
}
