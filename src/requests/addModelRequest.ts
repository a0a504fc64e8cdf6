/** Adds an admitted request to the load of its model. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { ModelLoad } from './admission';

/**
 * @param load the model's load
 * @param workspace the workspace of the request
 * @param share the workspace's share
 */
export function addModelRequest(load: ModelLoad, workspace: WorkspaceId, share: number): ModelLoad {
  const before = load.runningByWorkspace.get(workspace, 0);
  return {
    ...load,
    running: load.running + 1,
    runningByWorkspace: load.runningByWorkspace.set(workspace, before + 1),
    shareSum: before === 0 ? load.shareSum + share : load.shareSum,
  };
}
