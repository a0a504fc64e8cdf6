/** Finds the workspace that a bearer token belongs to. */

import type { Configuration } from '../configuration/configuration';
import type { WorkspaceId } from '../workspaces/workspace';
import { hashToken } from './hashToken';

type Workspaces = Configuration['workspace'];

const indexes = new WeakMap<Workspaces, ReadonlyMap<string, WorkspaceId>>();

/**
 * Looks a token up by its hash. The index is built once for each state of the workspaces.
 *
 * @param workspaces the applied configuration's workspaces
 * @param token a bearer token
 */
export function findWorkspace(workspaces: Workspaces, token: string): WorkspaceId | undefined {
  const index = indexes.get(workspaces) ?? createIndex(workspaces);
  indexes.set(workspaces, index);
  return index.get(hashToken(token));
}

function createIndex(workspaces: Workspaces): ReadonlyMap<string, WorkspaceId> {
  return new Map(
    [...workspaces.values()].flatMap(({ id, tokenHashes }) =>
      tokenHashes.map((hash) => [hash, id] as const),
    ),
  );
}
