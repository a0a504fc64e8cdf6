/** Plans the retirement of a service in one commit. */

import type { Configuration } from '../configuration/configuration';
import { formatServiceKey } from './configurationKeys';
import type { Draft, Impossible } from './draft';
import { createUnknownNameProblem } from './findEngineProblems';
import type { Intent } from './intent';
import { requireUnchanged } from './objectPreconditions';

type RetireService = Extract<Intent, { readonly type: 'retire-service' }>;

/** Plans `retire-service`. Running requests complete; new ones are refused as not-run. */
export function planRetireService(
  configuration: Configuration,
  intent: RetireService,
): Draft | Impossible {
  const key = formatServiceKey(intent.workspace, intent.service);
  if (!configuration.service.has(key)) {
    return { type: 'impossible', problems: [createUnknownNameProblem('service', key)] };
  }
  return {
    type: 'draft',
    summary: `Retire service ${key}`,
    preconditions: [requireUnchanged(configuration, 'service', key)],
    steps: [{ type: 'commit', changes: [{ type: 'remove', kind: 'service', key }] }],
    risks: [`Callers of ${key} are refused as not-run from the moment the change is in force`],
    rejected: [],
  };
}
