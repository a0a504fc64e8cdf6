/** Finds the contract that covers one method and path of a plain service. */

import type { MethodContract } from '../contracts/methodContract';

/**
 * Returns the most specific contract that matches: an exact path before a prefix, and a longer prefix
 * before a shorter one. A contract path that ends with `*` is a prefix.
 *
 * @param contracts the contracts of one service
 * @param method upper-case HTTP method
 * @param path path with or without a query string, which is ignored
 * @returns undefined if no contract matches
 */
export function findContract(
  contracts: readonly MethodContract[],
  method: string,
  path: string,
): MethodContract | undefined {
  const pathWithoutQuery = path.split('?', 1)[0] ?? '';
  const matching = contracts.filter(
    (contract) => contract.method === method && matchesPath(contract.path, pathWithoutQuery),
  );
  return matching.reduce<MethodContract | undefined>(
    (best, contract) =>
      best === undefined || computeSpecificity(contract.path) > computeSpecificity(best.path)
        ? contract
        : best,
    undefined,
  );
}

function matchesPath(pattern: string, path: string): boolean {
  return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : pattern === path;
}

function computeSpecificity(pattern: string): number {
  return pattern.endsWith('*') ? pattern.length - 1 : Number.MAX_SAFE_INTEGER;
}
