/** Plans retiring a service: one commit. */

import type { Configuration } from '../configuration/configuration';
import { serviceKey } from './configurationKeys';
import type { Draft, Impossible } from './draft';
import { unknownName } from './engineProblems';
import type { Intent } from './intent';
import { unchanged } from './preconditionOn';

type RetireService = Extract<Intent, { readonly type: 'retire-service' }>;

/** Plans `retire-service`. Requests that run are finished; new ones are refused as not-run. */
export function planRetireService(
  configuration: Configuration,
  intent: RetireService,
): Draft | Impossible {
  const key = serviceKey(intent.workspace, intent.service);
  if (!configuration.service.has(key)) {
    return { type: 'impossible', problems: [unknownName('service', key)] };
  }
  return {
    type: 'draft',
    summary: `Retire service ${key}`,
    preconditions: [unchanged(configuration, 'service', key)],
    steps: [{ type: 'commit', changes: [{ type: 'remove', kind: 'service', key }] }],
    risks: [`Callers of ${key} are refused as not-run from the moment the change is in force`],
    rejected: [],
  };
}
