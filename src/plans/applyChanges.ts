/** Previews changes on a configuration without a revision of their own. */

import { applyRevision } from '../configuration/applyRevision';
import type { Change, Configuration } from '../configuration/configuration';

/** Gives the configuration that these changes would lead to, under the same revision number. */
export function applyChanges(
  configuration: Configuration,
  changes: readonly Change[],
): Configuration {
  const number = configuration.revision + 1;
  const revision = { number, changeId: '', operator: '', reason: '', changes };
  return { ...applyRevision(configuration, revision), revision: configuration.revision };
}
