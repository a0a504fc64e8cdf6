/** Formats the keys of configuration objects whose key is not their id. */

import type { Link } from '../links/link';
import type { ServiceId } from '../services/service';
import type { WorkspaceId } from '../workspaces/workspace';

export function formatServiceKey(workspace: WorkspaceId, service: ServiceId): string {
  return `${workspace}/${service}`;
}

export function formatLinkKey(link: Pick<Link, 'from' | 'to'>): string {
  return `${link.from}/${link.to}`;
}
