/**
 * Links of one VM to the backend servers: a proxy for each server, so that the VM can be partitioned from all
 * servers while it keeps its callers, the store and the other VMs.
 */

import type { EngineStandin } from '../../platform/standins/engineStandin';
import type { FaultProxy, ProxyMode } from '../../standins/proxy/startProxy';
import { startProxy } from '../../standins/proxy/startProxy';

/**
 * New connections are refused by all. Open ones live with `refuse-new`, are reset by `reset`, and deliver
 * nothing until the end of a `hang`.
 */
export type Partition = 'refuse-new' | 'reset' | 'hang';

export interface ServerLinks {
  /** Address at which the VM reaches a server. */
  readonly toLink: (address: string) => string;
  /** The server that an address of these links leads to; undefined for another address. */
  readonly toServer: (link: string) => string | undefined;
  readonly partition: (kind: Partition) => void;
  readonly heal: () => void;
  /** Whether the VM was partitioned at any moment of a span of steady time. */
  readonly wasPartitioned: (fromMs: number, toMs: number) => boolean;
  readonly close: () => void;
}

const MODES: Readonly<Record<Partition, ProxyMode>> = {
  'refuse-new': 'down',
  reset: 'down',
  hang: 'cut',
};

/** @param backendServers the servers; a link to one whose process has ended refuses connections as well */
export async function startServerLinks(
  backendServers: readonly Pick<EngineStandin, 'address' | 'proxy'>[],
): Promise<ServerLinks> {
  const proxies: ReadonlyMap<string, FaultProxy> = new Map(
    await Promise.all(
      backendServers.map(async ({ address }) => [address, await startProxy(address)] as const),
    ),
  );
  const ended = new Set<string>();
  let partitionMode: ProxyMode | undefined;
  const servers = new Map([...proxies].map(([address, proxy]) => [proxy.address, address]));
  const partitions: { readonly fromMs: number; toMs: number }[] = [];
  const updateMode = (address: string): void => {
    const ownMode = ended.has(address) ? 'down' : 'pass';
    proxies.get(address)?.setMode(partitionMode ?? ownMode);
  };
  const setPartitionMode = (mode: ProxyMode | undefined): void => {
    partitionMode = mode;
    for (const address of proxies.keys()) updateMode(address);
  };
  for (const { address, proxy } of backendServers) {
    proxy.onMode((mode) => {
      if (mode === 'down') ended.add(address);
      else ended.delete(address);
      updateMode(address);
    });
  }
  return {
    toServer: (link) => servers.get(link),
    toLink: (address) => proxies.get(address)?.address ?? address,
    partition: (kind) => {
      partitions.push({ fromMs: performance.now(), toMs: Infinity });
      setPartitionMode(MODES[kind]);
      if (kind === 'reset') for (const proxy of proxies.values()) proxy.reset();
    },
    heal: () => {
      const last = partitions.at(-1);
      if (last !== undefined) last.toMs = Math.min(last.toMs, performance.now());
      setPartitionMode(undefined);
    },
    wasPartitioned: (fromMs, toMs) =>
      partitions.some((span) => span.fromMs <= toMs && span.toMs >= fromMs),
    close: () => {
      for (const proxy of proxies.values()) proxy.close();
    },
  };
}
