/** The name of an operation in memory and in the table. */

import type { WorkspaceId } from '../workspaces/workspace';
import type { OperationId } from './operation';
import type { OperationKey } from './operationsState';

/** Two workspaces that choose the same id don't meet. */
export function nameOperation(workspace: WorkspaceId, id: OperationId): OperationKey {
  return `${encodeURIComponent(workspace)}/${id}`;
}
