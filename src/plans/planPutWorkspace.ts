/** Plans the addition or change of a workspace in one commit. */

import type { Configuration } from '../configuration/configuration';
import type { Workspace } from '../workspaces/workspace';
import type { Draft, Impossible, Problem } from './draft';
import type { Intent } from './intent';
import { requireUnchanged } from './objectPreconditions';

type PutWorkspace = Extract<Intent, { readonly type: 'put-workspace' }>;

/** A token's SHA-256 in lower-case hexadecimal. */
const TOKEN_HASH = /^[0-9a-f]{64}$/;

/** Plans `put-workspace`: its share, its limits and its tokens. */
export function planPutWorkspace(
  configuration: Configuration,
  { workspace }: PutWorkspace,
): Draft | Impossible {
  const problems = findWorkspaceProblems(workspace);
  if (problems.length > 0) return { type: 'impossible', problems };
  const before = configuration.workspace.get(workspace.id);
  const key = workspace.id;
  const change = { type: 'put', kind: 'workspace', key, value: workspace } as const;
  return {
    type: 'draft',
    summary: `${before === undefined ? 'Add' : 'Change'} workspace ${key}`,
    preconditions: [requireUnchanged(configuration, 'workspace', key)],
    steps: [{ type: 'commit', changes: [change] }],
    risks: describeTokenRisks(before, workspace),
    rejected: [],
  };
}

function findWorkspaceProblems(workspace: Workspace): readonly Problem[] {
  const problems: Problem[] = [];
  const { requestsPerSecond, tokensPerSecond, concurrentRequests } = workspace.limits;
  const numbers = {
    share: workspace.share,
    requestsPerSecond,
    tokensPerSecond,
    concurrentRequests,
  };
  for (const [name, value] of Object.entries(numbers)) {
    if (value > 0) continue;
    problems.push({
      problem: `Workspace ${workspace.id} has ${name} ${value}`,
      remedy: 'Give a number above 0',
    });
  }
  if (!workspace.tokenHashes.every((hash) => TOKEN_HASH.test(hash))) {
    problems.push({
      problem: `Workspace ${workspace.id} has a token hash that is none`,
      remedy: 'Give the SHA-256 of each token as 64 lower-case hexadecimal digits',
    });
  }
  return problems;
}

function describeTokenRisks(before: Workspace | undefined, after: Workspace): readonly string[] {
  const kept = new Set(after.tokenHashes);
  const dropped = (before?.tokenHashes ?? []).filter((hash) => !kept.has(hash));
  if (dropped.length === 0) return [];
  return [`Callers with ${dropped.length} withdrawn token(s) are refused once it is in force`];
}
