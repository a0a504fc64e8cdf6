/** The shares of several workspaces in sum. */

import type { Configuration } from '../configuration/configuration';
import type { WorkspaceId } from '../workspaces/workspace';

/** @returns the sum; a workspace that is not configured has no share */
export function sumShares(configuration: Configuration, workspaces: Iterable<WorkspaceId>): number {
  let sum = 0;
  for (const workspace of workspaces) sum += configuration.workspace.get(workspace)?.share ?? 0;
  return sum;
}
