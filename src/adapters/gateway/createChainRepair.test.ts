import { createListedServer } from '../../chains/testEngine';
import type { Stage } from '../../chains/layerEngine';
import { testModel } from '../../chains/testModel';
import type { OrderResult } from '../../gateway/backendProtocol';
import { createServerRegistry } from '../../gateway/createServerRegistry';
import { createFirstEventDelays } from '../../gateway/createFirstEventDelays';
import type { GatewayHost, Job } from '../../gateway/job';
import { createChainRepair } from './createChainRepair';

const holder = (id: string, from: number, to: number) =>
  createListedServer(id, { layers: { from, to } });

const stage = (id: string, from: number, to: number): Stage => ({
  id,
  address: `${id}:1`,
  layers: { from, to },
});

const servers = [holder('a', 0, 3), holder('b', 3, 6), holder('c', 6, 8)];
const spares = [holder('d', 3, 6), holder('e', 6, 8)];

function createRepair(result: OrderResult) {
  const now = (): number => 0;
  const board = createServerRegistry({
    now,
    firstEventDelays: createFirstEventDelays(now),
    log: () => undefined,
  });
  board.list([...servers, ...spares]);
  const paths: string[] = [];
  const asked: string[] = [];
  const host = {
    registry: board,
    protocol: {
      changePath: (_address: string, _id: string, stages: readonly Stage[]) => {
        paths.push(stages.map(({ id }) => id).join(' '));
        return Promise.resolve(result);
      },
    },
    probes: {
      ask: (id: string) => {
        asked.push(id);
        return Promise.resolve({ type: 'failed', detail: 'not used' });
      },
    },
    failureDomain: 'a',
    now,
    log: () => undefined,
    count: () => undefined,
  } as unknown as GatewayHost;
  const repair = createChainRepair(host, {
    job: { head: { id: 'r' }, profile: { name: 'drafts' } } as unknown as Job,
    model: testModel,
    stages: [stage('a', 0, 3), stage('b', 3, 6), stage('c', 6, 8)],
    tokens: 100,
    isOver: () => false,
    hasEvents: () => true,
    silentMs: () => 0,
    onBroken: () => undefined,
  });
  return { board, repair, paths, asked };
}

describe('createChainRepair', () => {
  it('replaces one engine and keeps the others', async () => {
    const { repair, paths } = createRepair({ type: 'accepted' });
    await repair.repair(new Set(['b']), 'engine lost');
    expect(paths).toEqual(['a d c']);
    expect(repair.includes('b')).toBe(false);
  });

  it('leaves out every engine that drains or gave up its part', async () => {
    for (const change of [{ isDraining: true }, { layers: undefined }]) {
      const { board, repair, paths } = createRepair({ type: 'accepted' });
      const leaving = servers.slice(1).map((server) => ({ ...server, ...change }));
      board.list([holder('a', 0, 3), ...leaving, ...spares]);
      await repair.repair(new Set(['b']), 'engine leaving');
      expect(paths).toEqual(['a d e']);
    }
  });

  it('asks the engine that an order was rejected for', async () => {
    const { repair, asked } = createRepair({ type: 'rejected', status: 409, address: 'd:1' });
    await repair.repair(new Set(['b']), 'engine lost');
    expect(asked).toEqual(['d']);
    expect(repair.includes('b')).toBe(true);
  });
});
