/** Formats the key of an operation in memory and in the table. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { OperationId } from './operation';
import type { OperationKey } from './operationsState';

/** Includes the workspace, which separates equal ids of different workspaces. */
export function formatOperationKey(workspace: WorkspaceId, id: OperationId): OperationKey {
  return `${encodeURIComponent(workspace)}/${id}`;
}
