/** Starts the site of the fault soak: a store, engines and plain servers as stand-ins, and real VMs. */

import { createConfiguration } from '../../platform/standins/createConfiguration';
import type { EngineOptions } from '../../platform/standins/engineStandin';
import { startEngine } from '../../platform/standins/startEngine';
import { startStore } from '../../platform/standins/startStore';
import type { SoakSite } from './soakFaults';
import { startGatewayProcess } from './startGatewayProcess';

export interface SoakSiteOptions {
  /** Folder for the settings files of the VMs. */
  readonly folder: string;
  /** Path of the bundled daemon. */
  readonly program: string;
  /** What the servers call, and what ends them. */
  readonly serverHooks: Omit<EngineOptions, 'id' | 'service' | 'zone' | 'kind' | 'store'>;
}

const GATEWAY_COUNT = 3;
const DOMAINS = ['a', 'b', 'c'] as const;

/** Resolves when all parts have started; the VMs may not be ready yet. */
export async function startSoakSite(options: SoakSiteOptions): Promise<SoakSite> {
  const { folder, program, serverHooks } = options;
  const store = await startStore();
  const engineZones = DOMAINS.flatMap((zone) => [zone, zone, zone].map((name) => ({ zone: name })));
  const engines = await Promise.all([
    ...engineZones.map(({ zone }, index) =>
      startEngine({ id: `m${index}`, service: 'draft', zone, kind: 'card', store, ...serverHooks }),
    ),
    ...DOMAINS.map((zone) =>
      startEngine({
        id: `p-${zone}`,
        service: 'desk',
        zone,
        kind: undefined,
        store,
        ...serverHooks,
      }),
    ),
  ]);
  store.put('op', 'config', createConfiguration());
  const gateways = await Promise.all(
    Array.from({ length: GATEWAY_COUNT }, (_, index) =>
      startGatewayProcess({
        name: `vm-${index}`,
        zone: DOMAINS[index % DOMAINS.length] ?? 'a',
        program,
        folder,
        storeAddress: store.address,
      }),
    ),
  );
  return { store, engines, gateways };
}
