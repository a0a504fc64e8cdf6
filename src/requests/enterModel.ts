/** Counts a request among those of its model. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { ModelLoad } from './admission';

/**
 * @param load the model's load
 * @param workspace whose request it is
 * @param share the workspace's share
 */
export function enterModel(load: ModelLoad, workspace: WorkspaceId, share: number): ModelLoad {
  const before = load.runningOf.get(workspace, 0);
  return {
    ...load,
    running: load.running + 1,
    runningOf: load.runningOf.set(workspace, before + 1),
    shares: before === 0 ? load.shares + share : load.shares,
  };
}
