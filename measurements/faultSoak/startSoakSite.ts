/** Starts the site of the fault soak: a store, engines and plain servers as stand-ins, and real VMs. */

import { createConfiguration } from '../../platform/standins/createConfiguration';
import type { EngineOptions } from '../../platform/standins/engineStandin';
import { startEngine } from '../../platform/standins/startEngine';
import type { EngineStandin } from '../../platform/standins/engineStandin';
import type { StoreStandin } from '../../platform/standins/startStore';
import { startStore } from '../../platform/standins/startStore';
import type { ServerLinks } from './startServerLinks';
import { startServerLinks } from './startServerLinks';
import type { SoakSite } from './soakFaults';
import type { GatewayProcess, GatewayProcessOptions } from './startGatewayProcess';
import { startGatewayProcess } from './startGatewayProcess';

export interface SoakSiteOptions {
  /** Folder for the settings files of the VMs. */
  readonly folder: string;
  /** Path of the bundled daemon. */
  readonly program: string;
  /**
   * Daemon of another version. VMs begin with either in turn, and change between both at every start.
   */
  readonly otherProgram?: string | undefined;
  /** Whether VMs can be partitioned from the servers. */
  readonly hasLinks?: boolean;
  /** What the servers call, and what ends them. */
  readonly serverHooks: SoakServerHooks;
}

export interface SoakServerHooks extends Omit<
  EngineOptions,
  'id' | 'service' | 'zone' | 'kind' | 'store' | 'onRun'
> {
  /** @param links links of the VM that gave the stages; undefined for a call, and if VMs have none */
  readonly onRun: (
    requestId: string,
    server: string,
    stages: string,
    links: ServerLinks | undefined,
  ) => void;
}

const GATEWAY_COUNT = 3;
const DOMAINS = ['a', 'b', 'c'] as const;

/** Resolves when all parts have started; the VMs may not be ready yet. */
export async function startSoakSite(options: SoakSiteOptions): Promise<SoakSite> {
  const { folder, program, otherProgram, serverHooks, hasLinks = false } = options;
  const store = await startStore();
  const linkSets: ServerLinks[] = [];
  const hooks = {
    ...serverHooks,
    onRun: (requestId: string, server: string, stages: string) => {
      const links = linkSets.find(({ toServer }) => toServer(readEntry(stages)) !== undefined);
      serverHooks.onRun(requestId, server, restoreAddresses(stages, linkSets), links);
    },
    onStages: (requestId: string, server: string, stages: string) => {
      serverHooks.onStages(requestId, server, restoreAddresses(stages, linkSets));
    },
  };
  const engineZones = DOMAINS.flatMap((zone) => [zone, zone, zone].map((name) => ({ zone: name })));
  const engines = await Promise.all([
    ...engineZones.map(({ zone }, index) =>
      startEngine({ id: `m${index}`, service: 'draft', zone, kind: 'card', store, ...hooks }),
    ),
    ...DOMAINS.map((zone) =>
      startEngine({
        id: `p-${zone}`,
        service: 'desk',
        zone,
        kind: undefined,
        store,
        ...hooks,
      }),
    ),
  ]);
  store.put('op', 'config', createConfiguration());
  const gateways = await Promise.all(
    Array.from({ length: GATEWAY_COUNT }, (_, index) =>
      startLinkedGateway(store, hasLinks ? engines : [], {
        name: `vm-${index}`,
        zone: DOMAINS[index % DOMAINS.length] ?? 'a',
        program: index % 2 === 0 ? program : (otherProgram ?? program),
        otherProgram: index % 2 === 0 ? otherProgram : program,
        folder,
      }),
    ),
  );
  linkSets.push(...gateways.map(({ links }) => links));
  return { store, engines, gateways };
}

/** Starts a VM that reaches each server by a link of its own, at an address that only this VM reads in the store. */
async function startLinkedGateway(
  store: StoreStandin,
  engines: readonly EngineStandin[],
  options: Omit<GatewayProcessOptions, 'storeAddress' | 'links'>,
): Promise<GatewayProcess> {
  const links = await startServerLinks(engines);
  const storeAddress = await store.openView((table, value) =>
    table === 'servers' ? replaceAddress(value, links.toLink) : value,
  );
  return startGatewayProcess({ ...options, storeAddress, links });
}

function replaceAddress(value: string, toLink: (address: string) => string): string {
  const entry = JSON.parse(Buffer.from(value, 'base64').toString()) as { readonly address: string };
  const linked = { ...entry, address: toLink(entry.address) };
  return Buffer.from(JSON.stringify(linked)).toString('base64');
}

/** Address of the first server of a path; empty for a call. */
const readEntry = (stages: string): string => stages.split('=', 1)[0] ?? '';

/** Names the servers of a path by their own addresses again. */
function restoreAddresses(stages: string, linkSets: readonly ServerLinks[]): string {
  if (stages === '') return stages;
  const restore = (stage: string): string => {
    const [link = '', layers = ''] = stage.split('=');
    const address = linkSets.map(({ toServer }) => toServer(link)).find(Boolean);
    return `${address ?? link}=${layers}`;
  };
  return stages.split(',').map(restore).join(',');
}
