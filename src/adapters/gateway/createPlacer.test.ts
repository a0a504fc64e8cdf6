import type { Catalog } from '../../catalog/catalog';
import { createListedServer } from '../../chains/testEngine';
import { testModel } from '../../chains/testModel';
import type { BackendProtocol } from '../../gateway/backendProtocol';
import type { LayerRange } from '../../engines/engine';
import { createFirstEventDelays } from '../../gateway/createFirstEventDelays';
import { createServerRegistry } from '../../gateway/createServerRegistry';
import type { SuspicionReason } from '../../gateway/createSuspicions';
import { createPlacer } from './createPlacer';

const model = { ...testModel, layers: 8 };

const createHolder = (id: string, from: number, to: number) =>
  createListedServer(id, { layers: { from, to } });

/** Only one engine holds the second half of the model; one of the others can be spared. */
const servers = [createHolder('a', 0, 4), createHolder('b', 0, 4), createHolder('c', 4, 8)];

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

function createFixture() {
  let nowMs = 0;
  const now = (): number => nowMs;
  const ordered: string[] = [];
  const registry = createServerRegistry({
    now,
    firstEventDelays: createFirstEventDelays(now),
    log: () => undefined,
  });
  registry.list(servers);
  const protocol = {
    fetchReport: (address: string) => {
      const layers = registry.findByAddress(address)?.layers;
      return Promise.resolve({
        type: 'report',
        requestLimit: { type: 'none' },
        report: { bornMs: 5, isBusy: false, acceptedOrders: 0, layers },
      });
    },
    placeLayers: (_address: string, { from, to }: LayerRange) => {
      ordered.push(`${from}-${to}`);
      return Promise.resolve({ type: 'accepted' });
    },
  } as unknown as BackendProtocol;
  const catalog = { services: new Map([['drafts', { name: 'drafts', model }]]) };
  const placer = createPlacer({
    registry,
    protocol,
    catalog: () => catalog as unknown as Catalog,
    now,
    log: () => undefined,
  });
  return {
    ordered,
    list: registry.list,
    suspectAt: (ms: number, id: string, reason: SuspicionReason) => {
      nowMs = ms;
      registry.suspect(id, reason);
    },
    tickAt: async (ms: number) => {
      nowMs = ms;
      placer.tick();
      await settle();
    },
  };
}

describe('createPlacer', () => {
  it('does not replace the layers of an engine that is silent for a moment', async () => {
    const { ordered, suspectAt, tickAt } = createFixture();
    suspectAt(0, 'c', 'silent');
    for (const ms of [250, 1_000, 3_400]) await tickAt(ms);
    expect(ordered).toEqual([]);
  });

  it('replaces the layers of an engine that stays silent', async () => {
    const { ordered, suspectAt, tickAt } = createFixture();
    suspectAt(0, 'c', 'silent');
    await tickAt(3_500);
    expect(ordered).toEqual(['4-8']);
  });

  it('replaces the layers of an engine that has restarted at once', async () => {
    const { ordered, suspectAt, tickAt } = createFixture();
    suspectAt(0, 'c', 'silent');
    await tickAt(250);
    expect(ordered).toEqual([]);
    suspectAt(300, 'c', 'restarted');
    await tickAt(310);
    expect(ordered).toEqual(['4-8']);
  });

  it('replaces the layers of an engine that refuses connections sooner, but not at once', async () => {
    const { ordered, suspectAt, tickAt } = createFixture();
    suspectAt(0, 'c', 'refused');
    await tickAt(590);
    expect(ordered).toEqual([]);
    await tickAt(600);
    expect(ordered).toEqual(['4-8']);
  });

  it('keeps an engine that comes up empty for two seconds, unless layers are lost', async () => {
    const kept = createFixture();
    kept.list([...servers, createListedServer('d', { layers: undefined })]);
    for (const ms of [0, 1_900]) await kept.tickAt(ms);
    expect(kept.ordered).toEqual([]);
    await kept.tickAt(2_000);
    expect(kept.ordered).toHaveLength(1);

    const needed = createFixture();
    needed.list([...servers, createListedServer('d', { layers: undefined })]);
    await needed.tickAt(0);
    needed.list([createHolder('a', 0, 4), createListedServer('d', { layers: undefined })]);
    await needed.tickAt(250);
    expect(needed.ordered).toEqual(['0-8']);
  });
});
