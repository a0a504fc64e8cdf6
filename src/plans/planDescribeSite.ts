/** Plans a change of the site's description in one commit. */

import type { Change, Configuration, ObjectKind } from '../configuration/configuration';
import type { Draft, Impossible, Problem } from './draft';
import type { Intent } from './intent';
import { requireUnchanged } from './objectPreconditions';

type DescribeSite = Extract<Intent, { readonly type: 'describe-site' }>;

/** Kinds that only describe the site; other kinds have their own intents. */
const SITE_KINDS: ReadonlySet<ObjectKind> = new Set([
  'failureDomain',
  'link',
  'acceleratorKind',
  'model',
]);

/** Plans `describe-site`: failure domains, links, accelerator kinds and models. */
export function planDescribeSite(
  configuration: Configuration,
  { changes }: DescribeSite,
): Draft | Impossible {
  const problems = [
    ...changes.flatMap(findKindProblems),
    ...changes.flatMap((change) => findUsageProblems(configuration, change)),
  ];
  if (changes.length === 0) problems.push({ problem: 'No change', remedy: 'Name what to change' });
  if (problems.length > 0) return { type: 'impossible', problems };
  return {
    type: 'draft',
    summary: `Describe ${changes.map(({ kind, key }) => `${kind} ${key}`).join(', ')}`,
    preconditions: changes.map(({ kind, key }) => requireUnchanged(configuration, kind, key)),
    steps: [{ type: 'commit', changes }],
    risks: [],
    rejected: [],
  };
}

function findKindProblems({ kind, key }: Change): readonly Problem[] {
  if (SITE_KINDS.has(kind)) return [];
  const remedy =
    'State the intent for it: put-service, put-workspace, add-backend-server, set-engine';
  return [{ problem: `${kind} ${key} does not describe the site`, remedy }];
}

/** A removed object must not be in use. */
function findUsageProblems(configuration: Configuration, change: Change): readonly Problem[] {
  if (change.type === 'put') return [];
  const users = listUsers(configuration, change.kind, change.key);
  if (users.length === 0) return [];
  const remedy = `Retire or move ${users.join(', ')} first`;
  return [{ problem: `${change.kind} ${change.key} is in use`, remedy }];
}

function listUsers(configuration: Configuration, kind: ObjectKind, key: string): readonly string[] {
  const engines = [...configuration.engine.values()];
  const users: Partial<Record<ObjectKind, readonly string[]>> = {
    failureDomain: [...configuration.backendServer.values()]
      .filter((server) => server.failureDomain === key)
      .map((server) => server.id),
    acceleratorKind: engines.filter((item) => item.acceleratorKind === key).map(({ id }) => id),
    model: [
      ...engines.filter((item) => item.model === key).map(({ id }) => id),
      ...[...configuration.service.values()]
        .filter((service) => service.kind === 'model' && service.model === key)
        .map(({ id }) => id),
    ],
  };
  return users[kind] ?? [];
}
