import { setTimeout as sleep } from 'node:timers/promises';
import { createListedServer } from '../../chains/testEngine';
import type { ListedServer, Stage } from '../../chains/layerEngine';
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
const ACCEPTED: OrderResult = { type: 'accepted' };

const spares = [createHolder('d', 3, 6), createHolder('e', 6, 8)];

interface RepairFixture {
  readonly result: OrderResult;
  /** Engines whose queries have no result. */
  readonly unanswered?: readonly string[];
  /** Whether another run can start. */
  readonly canMove?: boolean;
  readonly engines?: readonly ListedServer[];
  /** Time for which the request is refused. */
  readonly heldMs?: number;
}

function createRepair(fixture: RepairFixture) {
  const { result, unanswered = [], canMove = false, engines = [...servers, ...spares] } = fixture;
  const { heldMs = 0 } = fixture;
  const moves: string[] = [];
  const now = (): number => 0;
  const registry = createServerRegistry({
    now,
    firstEventDelays: createFirstEventDelays(now),
    log: () => undefined,
  });
  registry.list(engines);
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
        if (unanswered.includes(id)) return new Promise(() => undefined);
        return Promise.resolve({ type: 'failed', detail: 'not used' });
      },
    },
    contentSuspicions: { heldMs: () => heldMs },
    failureDomain: 'a',
    now,
    random: () => 0.5,
    log: () => undefined,
    count: () => undefined,
  } as unknown as GatewayHost;
  const stages = [createStage('a', 0, 3), createStage('b', 3, 6), createStage('c', 6, 8)];
  const repair = createChainRepair(host, {
    job: { head: { id: 'r' }, profile: { name: 'drafts' }, contents: [] } as unknown as Job,
    model: testModel,
    stages,
    reservation: registry.reserve(stages, 100),
    tokens: 100,
    isOver: () => false,
    hasEvents: () => true,
    silentMs: () => 170,
    tryMoveNear: () => {
      moves.push('moved');
      return canMove;
    },
    onRunGone: () => undefined,
  });
  return { registry, repair, paths, probed, moves };
}

describe('createChainRepair', () => {
  // Repairs took a request that ends engines from one to the next.
  it('takes a request that is refused to no further engine, except when one leaves', async () => {
    const { repair, paths } = createRepair({ result: ACCEPTED, heldMs: 1 });
    await repair.repair(new Set(['b']), 'engine lost');
    expect(paths).toEqual([]);
    await repair.repair(new Set(['b']), 'engine leaving');
    expect(paths).toEqual(['a d c']);
  });

  it('replaces one engine and keeps the others', async () => {
    const { repair, paths } = createRepair({ result: ACCEPTED });
    await repair.repair(new Set(['b']), 'engine lost');
    expect(paths).toEqual(['a d c']);
    expect(repair.includes('b')).toBe(false);
  });

  it('excludes every engine that drains or dropped its layers', async () => {
    for (const change of [{ isDraining: true }, { layers: undefined }]) {
      const { registry, repair, paths } = createRepair({ result: ACCEPTED });
      const leaving = servers.slice(1).map((server) => ({ ...server, ...change }));
      registry.list([createHolder('a', 0, 3), ...leaving, ...spares]);
      await repair.repair(new Set(['b']), 'engine leaving');
      expect(paths).toEqual(['a d e']);
    }
  });

  it('replaces an engine that does not answer soon while the others do', async () => {
    const { repair, paths } = createRepair({ result: ACCEPTED, unanswered: ['b'] });
    void repair.probe();
    await sleep(300);
    expect(paths).toEqual(['a d c']);
    expect(repair.isEntryUnanswered()).toBe(false);
  });

  it('orders nothing through a first engine that does not answer soon', async () => {
    const { repair, paths } = createRepair({ result: ACCEPTED, unanswered: ['a'] });
    void repair.probe();
    await sleep(300);
    expect(paths).toEqual([]);
    expect(repair.isEntryUnanswered()).toBe(true);
  });

  it('asks only the first engine and those that are not known to work', async () => {
    const { registry, repair, probed } = createRepair({ result: ACCEPTED });
    for (const id of ['a', 'b', 'c']) registry.recordReport(id, { pace: 1, memoryShare: 0 });
    registry.recordPassage(['a', 'b']);
    await repair.probe();
    expect(probed).toEqual(['a', 'c']);
  });

  it('takes an engine that is known to work for one that has answered', async () => {
    const { registry, repair } = createRepair({ result: ACCEPTED, unanswered: ['a'] });
    for (const id of ['b', 'c']) registry.recordReport(id, { pace: 1, memoryShare: 0 });
    registry.recordPassage(['b', 'c']);
    void repair.probe();
    await sleep(300);
    expect(repair.isEntryUnanswered()).toBe(true);
  });

  it('starts on another chain instead of sending a lost part over the links between failure domains', async () => {
    const { repair, paths, moves } = createRepair({
      result: ACCEPTED,
      canMove: true,
      engines: [
        ...servers,
        createListedServer('f', { failureDomain: 'b', layers: { from: 3, to: 6 } }),
      ],
    });
    await repair.repair(new Set(['b']), 'engine lost');
    expect([paths, moves]).toEqual([[], ['moved']]);
    await repair.repair(new Set(['b']), 'engine leaving');
    expect([paths, moves]).toEqual([['a f c'], ['moved']]);
  });

  it('sends a lost part over the links between failure domains if no other chain can start', async () => {
    const { repair, paths } = createRepair({
      result: ACCEPTED,
      engines: [
        ...servers,
        createListedServer('f', { failureDomain: 'b', layers: { from: 3, to: 6 } }),
      ],
    });
    await repair.repair(new Set(['b']), 'engine lost');
    expect(paths).toEqual(['a f c']);
  });

  it('probes the engine for which an order was rejected', async () => {
    const { repair, probed } = createRepair({
      result: { type: 'rejected', status: 409, address: 'd:1' },
    });
    await repair.repair(new Set(['b']), 'engine lost');
    expect(probed).toEqual(['d']);
    expect(repair.includes('b')).toBe(true);
  });
});
