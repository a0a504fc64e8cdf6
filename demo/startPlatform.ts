/** Starts the stand-ins: the platform, engines of four kinds and plain services. */

import type { Address } from '../src/vms/vm';
import { ENGINES, MODEL, PLAIN_SERVERS } from './site';
import type { Process, Processes } from './startProcesses';

export interface StandIn {
  readonly process: Process;
  readonly address: Address;
  readonly url: string;
}

export interface Platform {
  readonly table: StandIn;
  readonly membership: StandIn;
  /** Engines by id. */
  readonly engines: ReadonlyMap<string, StandIn>;
  /** Backend servers of plain services by id. */
  readonly plain: ReadonlyMap<string, StandIn>;
}

const HOST = '127.0.0.1';

/** Duration of one decode step of a stage, milliseconds. */
const STEP_MS = 3;

/**
 * Starts all stand-ins and waits until they listen.
 *
 * @param processes starts the stand-ins
 */
export async function startPlatform(processes: Processes): Promise<Platform> {
  const start = async (kind: string, name: string, options: object = {}): Promise<StandIn> => {
    const started = await processes.start({
      name,
      script: 'standins/standin.js',
      args: [kind, JSON.stringify({ host: HOST, port: 0, ...options })],
      readReady: readPort,
    });
    const address = { host: HOST, port: started.ports.port ?? 0 };
    return { process: started.process, address, url: `http://${HOST}:${address.port}` };
  };
  const startEngine = async (id: string): Promise<readonly [string, StandIn]> => {
    const engine = ENGINES.find((one) => one.id === id);
    const layers = engine?.layers ?? { from: 0, to: MODEL.layers };
    const state = { model: MODEL.id, modelVersion: '0', layers, role: 'idle', leaving: false };
    const options = { id, state, stepMs: STEP_MS };
    return [id, await start('engine', id, options)];
  };
  const startPlain = async (id: string): Promise<readonly [string, StandIn]> => [
    id,
    await start('plain-service', id, { id }),
  ];
  const [table, membership, engines, plain] = await Promise.all([
    start('table', 'table'),
    start('membership', 'membership', { lagMs: 200 }),
    Promise.all(ENGINES.map(({ id }) => startEngine(id))),
    Promise.all(Object.values(PLAIN_SERVERS).flat().map(startPlain)),
  ]);
  return { table, membership, engines: new Map(engines), plain: new Map(plain) };
}

function readPort(line: unknown): { readonly port: number } | undefined {
  if (typeof line !== 'object' || line === null || !('port' in line)) return undefined;
  return typeof line.port === 'number' ? { port: line.port } : undefined;
}
