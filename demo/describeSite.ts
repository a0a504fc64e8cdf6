/** Configures the demo's site: states and confirms an intent for each object. */

import type { DemoOperator } from './operator';
import { createServerIntent, createServiceIntents, createSiteIntents } from './site';
import { createWorkspaceIntent } from './site';
import type { Platform } from './startPlatform';

/**
 * Executes all intents of the site; intents for different objects run concurrently.
 *
 * @param operator states and confirms the intents
 * @param platform the engines and plain services to add
 * @returns number of executed plans
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
    await Promise.all(intents.map((intent) => operator.executeIntent(intent, 'set up the demo')));
    count += intents.length;
  }
  return count;
}
