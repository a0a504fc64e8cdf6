/** Sums the shares of several workspaces. */

import type { Configuration } from '../configuration/configuration';
import type { WorkspaceId } from '../workspaces/workspace';

/** @returns the sum; a workspace that is not configured has a share of 0 */
export function sumShares(configuration: Configuration, workspaces: Iterable<WorkspaceId>): number {
  let sum = 0;
  for (const workspace of workspaces) sum += configuration.workspace.get(workspace)?.share ?? 0;
  return sum;
}
