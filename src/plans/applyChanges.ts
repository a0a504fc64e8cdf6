/** Applies changes to a configuration without creating a revision. */

import { applyRevision } from '../configuration/applyRevision';
import type { Change, Configuration } from '../configuration/configuration';

/** Returns the configuration after the changes; its revision number stays the same. */
export function applyChanges(
  configuration: Configuration,
  changes: readonly Change[],
): Configuration {
  const number = configuration.revision + 1;
  const revision = { number, changeId: '', operator: '', reason: '', changes };
  return { ...applyRevision(configuration, revision), revision: configuration.revision };
}
