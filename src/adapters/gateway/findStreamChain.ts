/** Finds the engines that could serve a stream now, by the load that this VM knows of. */

import { chooseChain } from '../../chains/chooseChain';
import type { Stage } from '../../chains/layerEngine';
import type { GatewayHost, Job } from '../../gateway/job';
import { describeChainSearch } from './describeChainSearch';
import type { StreamChainSearch } from './describeChainSearch';

/** @returns undefined if no chain has capacity */
export function findStreamChain(
  host: GatewayHost,
  job: Job,
  search: StreamChainSearch,
): readonly Stage[] | undefined {
  const { registry } = host;
  const { name, model } = job.profile;
  const { entries, excluded } = search;
  if (model === undefined) {
    const [server] = registry
      .usableServers(name)
      .filter(({ id }) => excluded?.has(id) !== true && (entries?.has(id) ?? true))
      .sort(
        (one, other) =>
          registry.running(one.id) / one.slots - registry.running(other.id) / other.slots,
      );
    if (server === undefined) return undefined;
    return [{ id: server.id, address: server.address, layers: { from: 0, to: 0 } }];
  }
  return chooseChain({
    ...describeChainSearch(host, job, model, search),
    vms: host.vms(),
    isRecovery: search.hasBegun,
    random: host.random,
  });
}
