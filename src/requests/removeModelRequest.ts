/** Removes an ended request from the load of its model. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { ModelLoad } from './admission';

/**
 * @param load the model's load
 * @param workspace the workspace of the request
 * @param share the workspace's share
 */
export function removeModelRequest(
  load: ModelLoad,
  workspace: WorkspaceId,
  share: number,
): ModelLoad {
  const remaining = load.runningByWorkspace.get(workspace, 1) - 1;
  const isLast = remaining === 0;
  return {
    ...load,
    running: load.running - 1,
    runningByWorkspace: isLast
      ? load.runningByWorkspace.delete(workspace)
      : load.runningByWorkspace.set(workspace, remaining),
    shareSum: isLast ? load.shareSum - share : load.shareSum,
  };
}
