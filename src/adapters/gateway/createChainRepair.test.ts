import { createListedServer } from '../../chains/testEngine';
import type { Stage } from '../../chains/layerEngine';
import { testModel } from '../../chains/testModel';
import type { OrderResult } from '../../gateway/backendProtocol';
import { createServerRegistry } from '../../gateway/createServerRegistry';
import { createFirstEventDelays } from '../../gateway/createFirstEventDelays';
import type { GatewayHost, Job } from '../../gateway/job';
import { createChainRepair } from './createChainRepair';

const createHolder = (id: string, from: number, to: number) =>
  createListedServer(id, { layers: { from, to } });

const createStage = (id: string, from: number, to: number): Stage => ({
  id,
  address: `${id}:1`,
  layers: { from, to },
});

const servers = [createHolder('a', 0, 3), createHolder('b', 3, 6), createHolder('c', 6, 8)];
const spares = [createHolder('d', 3, 6), createHolder('e', 6, 8)];

function createRepair(result: OrderResult) {
  const now = (): number => 0;
  const registry = createServerRegistry({
    now,
    firstEventDelays: createFirstEventDelays(now),
    log: () => undefined,
  });
  registry.list([...servers, ...spares]);
  const paths: string[] = [];
  const probed: string[] = [];
  const host = {
    registry,
    protocol: {
      changePath: (_address: string, _id: string, stages: readonly Stage[]) => {
        paths.push(stages.map(({ id }) => id).join(' '));
        return Promise.resolve(result);
      },
    },
    probes: {
      ask: (id: string) => {
        probed.push(id);
        return Promise.resolve({ type: 'failed', detail: 'not used' });
      },
    },
    failureDomain: 'a',
    now,
    log: () => undefined,
    count: () => undefined,
  } as unknown as GatewayHost;
  const stages = [createStage('a', 0, 3), createStage('b', 3, 6), createStage('c', 6, 8)];
  const repair = createChainRepair(host, {
    job: { head: { id: 'r' }, profile: { name: 'drafts' } } as unknown as Job,
    model: testModel,
    stages,
    reservation: registry.reserve(stages, 100),
    tokens: 100,
    isOver: () => false,
    hasEvents: () => true,
    silentMs: () => 0,
    onRunGone: () => undefined,
  });
  return { board: registry, repair, paths, asked: probed };
}

describe('createChainRepair', () => {
  it('replaces one engine and keeps the others', async () => {
    const { repair, paths } = createRepair({ type: 'accepted' });
    await repair.repair(new Set(['b']), 'engine lost');
    expect(paths).toEqual(['a d c']);
    expect(repair.includes('b')).toBe(false);
  });

  it('excludes every engine that drains or dropped its layers', async () => {
    for (const change of [{ isDraining: true }, { layers: undefined }]) {
      const { board: registry, repair, paths } = createRepair({ type: 'accepted' });
      const leaving = servers.slice(1).map((server) => ({ ...server, ...change }));
      registry.list([createHolder('a', 0, 3), ...leaving, ...spares]);
      await repair.repair(new Set(['b']), 'engine leaving');
      expect(paths).toEqual(['a d e']);
    }
  });

  it('probes the engine for which an order was rejected', async () => {
    const { repair, asked: probed } = createRepair({
      type: 'rejected',
      status: 409,
      address: 'd:1',
    });
    await repair.repair(new Set(['b']), 'engine lost');
    expect(probed).toEqual(['d']);
    expect(repair.includes('b')).toBe(true);
  });
});
