/** Describes the site to the fleet, each object by intent, plan and confirm. */

import type { DemoOperator } from './operator';
import { createServerIntent, createServiceIntents, createSiteIntents } from './site';
import { createWorkspaceIntent } from './site';
import type { Platform } from './startPlatform';

/**
 * Carries out all intents of the site. Those that touch different objects run at the same time.
 *
 * @param operator who states and confirms them
 * @param platform whose engines and plain services they name
 * @returns how many plans were carried out
 */
export async function describeSite(operator: DemoOperator, platform: Platform): Promise<number> {
  const servers = [...platform.engines, ...platform.plain];
  const groups = [
    createSiteIntents(),
    [
      createWorkspaceIntent('kiambu'),
      createWorkspaceIntent('derwent'),
      ...servers.map(([id, { address }], at) => createServerIntent(id, address, at)),
    ],
    [...createServiceIntents('kiambu'), ...createServiceIntents('derwent')],
  ];
  let count = 0;
  for (const intents of groups) {
    await Promise.all(intents.map((intent) => operator.carryOut(intent, 'set up the demo')));
    count += intents.length;
  }
  return count;
}
