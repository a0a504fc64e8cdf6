/** Finds the route of a request. */

import type { Catalog, RouteRule } from './catalog';

/**
 * @param catalog the current catalog
 * @param host the request's host; a port is ignored
 * @param path the request's path; a query is ignored
 * @returns the rule with the longest matching prefix, undefined if none matches
 */
export function matchRoute(catalog: Catalog, host: string, path: string): RouteRule | undefined {
  const name = host.split(':', 1)[0] ?? '';
  const query = path.indexOf('?');
  const pathname = query < 0 ? path : path.slice(0, query);
  return catalog.routes.get(name.toLowerCase())?.find(({ prefix }) => pathname.startsWith(prefix));
}
