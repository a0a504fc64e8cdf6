/** Detects changes of the settings file, for platforms that replace it without sending a signal. */

import { statSync } from 'node:fs';

/** Time between two polls of the file, milliseconds; settings stay in effect for minutes. */
const POLL_INTERVAL_MS = 2_000;

/**
 * Polls the file while the process runs, without keeping the process alive.
 *
 * @param path the settings file
 * @param onChange called after each change
 */
export function watchSettings(path: string, onChange: () => void): void {
  const readModifiedMs = (): number | undefined =>
    statSync(path, { throwIfNoEntry: false })?.mtimeMs;
  let lastModifiedMs = readModifiedMs();
  setInterval(() => {
    // A missing file is being replaced; the next poll reads it again.
    const modifiedMs = readModifiedMs() ?? lastModifiedMs;
    if (modifiedMs === lastModifiedMs) return;
    lastModifiedMs = modifiedMs;
    onChange();
  }, POLL_INTERVAL_MS).unref();
}
