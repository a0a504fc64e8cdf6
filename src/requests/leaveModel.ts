/** Takes a request that ended off the count of its model. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { ModelLoad } from './admission';

/**
 * @param load the model's load
 * @param workspace whose request it was
 * @param share the workspace's share
 */
export function leaveModel(load: ModelLoad, workspace: WorkspaceId, share: number): ModelLoad {
  const left = load.runningOf.get(workspace, 1) - 1;
  const isLast = left === 0;
  return {
    ...load,
    running: load.running - 1,
    runningOf: isLast ? load.runningOf.delete(workspace) : load.runningOf.set(workspace, left),
    shares: isLast ? load.shares - share : load.shares,
  };
}
