/** Finds the workspace of a bearer token. */

import type { Configuration } from '../configuration/configuration';
import type { WorkspaceId } from '../workspaces/workspace';
import { hashToken } from './hashToken';

type Workspaces = Configuration['workspace'];

const indexes = new WeakMap<Workspaces, ReadonlyMap<string, WorkspaceId>>();

/**
 * Looks up a token by its hash. The index is built once for each map of workspaces.
 *
 * @param workspaces the workspaces of the applied configuration
 * @param token the caller's bearer token
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
