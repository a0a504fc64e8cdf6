/** Keys of configuration objects whose key is not their id. */

import type { Link } from '../links/link';
import type { ServiceId } from '../services/service';
import type { WorkspaceId } from '../workspaces/workspace';

/** Key of a service. */
export function serviceKey(workspace: WorkspaceId, service: ServiceId): string {
  return `${workspace}/${service}`;
}

/** Key of a link. */
export function linkKey(link: Pick<Link, 'from' | 'to'>): string {
  return `${link.from}/${link.to}`;
}
