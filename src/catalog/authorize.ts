/** Decides whether a request is allowed and which workspace it belongs to. */

import type { Catalog, RouteRule, WorkspaceCredential } from './catalog';

export type Authorization =
  | { readonly type: 'allowed'; readonly credential: WorkspaceCredential | undefined }
  | { readonly type: 'denied' };

const BEARER = /^Bearer +(\S+) *$/i;

/**
 * @param catalog the current catalog
 * @param rule the request's route
 * @param header the request's `Authorization` header
 */
export function authorize(
  catalog: Catalog,
  rule: RouteRule,
  header: string | undefined,
): Authorization {
  const token = BEARER.exec(header ?? '')?.[1];
  const credential = token === undefined ? undefined : catalog.credentials.get(token);
  if (credential !== undefined || rule.isPublic || !catalog.hasWorkspaces) {
    return { type: 'allowed', credential };
  }
  return { type: 'denied' };
}
