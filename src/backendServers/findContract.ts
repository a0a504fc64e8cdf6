/** Finds the contract that covers one method and path of a plain service. */

import type { MethodContract } from '../contracts/methodContract';

/**
 * Gives the most specific contract: an exact path before a prefix, a longer prefix before a shorter.
 *
 * @param contracts of one service
 * @param method upper-case HTTP method
 * @param path with or without a query string, which does not count
 */
export function findContract(
  contracts: readonly MethodContract[],
  method: string,
  path: string,
): MethodContract | undefined {
  const bare = path.split('?', 1)[0] ?? '';
  const matching = contracts.filter(
    (contract) => contract.method === method && covers(contract.path, bare),
  );
  return matching.reduce<MethodContract | undefined>(
    (best, contract) =>
      best === undefined || rank(contract.path) > rank(best.path) ? contract : best,
    undefined,
  );
}

function covers(pattern: string, path: string): boolean {
  return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : pattern === path;
}

function rank(pattern: string): number {
  return pattern.endsWith('*') ? pattern.length - 1 : Number.MAX_SAFE_INTEGER;
}
