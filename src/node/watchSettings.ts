/** Notices that the settings file has changed, for platforms that replace it without a signal. */

import { statSync } from 'node:fs';

/** Time between looks at the file, milliseconds; what it sets is in force for minutes. */
const LOOK_MS = 2_000;

/**
 * Looks at the file for as long as the process runs, without keeping it alive.
 *
 * @param path the settings file
 * @param onChange called after each change
 */
export function watchSettings(path: string, onChange: () => void): void {
  const changedAt = (): number | undefined => statSync(path, { throwIfNoEntry: false })?.mtimeMs;
  let knownMs = changedAt();
  setInterval(() => {
    // A file that is missing is being replaced; it is looked at again.
    const foundMs = changedAt() ?? knownMs;
    if (foundMs === knownMs) return;
    knownMs = foundMs;
    onChange();
  }, LOOK_MS).unref();
}
