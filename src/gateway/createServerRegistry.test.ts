import { createListedServer as server } from '../chains/testEngine';
import { testModel } from '../chains/testModel';
import { createServerRegistry } from './createServerRegistry';
import type { ServerRegistry } from './serverRegistry';
import { createFirstEventDelays } from './createFirstEventDelays';

let nowMs = 0;
let isLate = false;
let registry: ServerRegistry;

const usableIds = (): readonly string[] => registry.usableServers('drafts').map(({ id }) => id);
const reserved = (id: string): number | undefined =>
  registry.chainEngines('drafts', testModel).find((engine) => engine.id === id)?.reserved;

beforeEach(() => {
  nowMs = 0;
  isLate = false;
  const now = (): number => nowMs;
  registry = createServerRegistry({
    now,
    firstEventDelays: createFirstEventDelays(now),
    log: () => undefined,
    isLate: () => isLate,
  });
  registry.list([server('x'), server('y')]);
});

describe('createServerRegistry', () => {
  it('sends no new requests to a draining server and notifies its streams once', () => {
    const leaving: string[] = [];
    registry.onLeaving((id) => leaving.push(id));
    registry.list([server('x', { isDraining: true }), server('y')]);
    registry.list([server('x', { isDraining: true }), server('y')]);
    expect(usableIds()).toEqual(['y']);
    expect(registry.chainEngines('drafts', testModel).map(({ id }) => id)).toEqual(['y']);
    expect(leaving).toEqual(['x']);
  });

  it('sends no requests to a suspected server until it answers or has started again', () => {
    registry.suspect('x', 'silent');
    expect(usableIds()).toEqual(['y']);
    registry.list([server('x', { bornMs: 9 }), server('y')]);
    expect(usableIds()).toEqual(['x', 'y']);
    registry.suspect('y', 'silent');
    registry.clearSuspicion('y');
    expect(usableIds()).toEqual(['x', 'y']);
  });

  it('suspects no server for a timeout while this process runs late', () => {
    isLate = true;
    registry.suspect('x', 'silent');
    registry.suspect('y', 'unreached');
    expect(usableIds()).toEqual(['x', 'y']);
    registry.suspect('x', 'refused');
    expect(usableIds()).toEqual(['y']);
    isLate = false;
    registry.suspect('y', 'silent');
    expect(usableIds()).toEqual([]);
  });

  it('knows that an engine works from events that pass it, for a moment and with a recent report', () => {
    registry.recordPassage(['x', 'y']);
    expect(registry.isKnownToWork('x')).toBe(false);
    registry.recordReport('x', { pace: 1, memoryShare: 0 });
    registry.recordReport('y', { pace: 1, memoryShare: 0 });
    nowMs = 59;
    expect(registry.isKnownToWork('x')).toBe(true);
    registry.suspect('y', 'refused');
    expect(registry.isKnownToWork('y')).toBe(false);
    nowMs = 60;
    expect(registry.isKnownToWork('x')).toBe(false);
  });

  it('offers suspected servers only where no other accepts new requests', () => {
    const lastResortIds = (): readonly string[] =>
      registry.lastResortServers('drafts').map(({ id }) => id);
    registry.list([server('x'), server('y'), server('z', { isDraining: true })]);
    registry.suspect('x', 'unreached');
    expect(lastResortIds()).toEqual([]);
    registry.suspect('y', 'unreached');
    registry.suspect('z', 'unreached');
    expect(lastResortIds()).toEqual(['x', 'y']);
    registry.backOff('x', 60);
    expect(lastResortIds()).toEqual(['y']);
    nowMs = 60;
    expect(lastResortIds()).toEqual(['x', 'y']);
    expect(registry.lastResortServers('other')).toEqual([]);
  });

  it('offers no suspected server while the only other one is in back-off', () => {
    registry.suspect('x', 'unreached');
    registry.backOff('y', 60);
    expect([usableIds(), registry.lastResortServers('drafts')]).toEqual([[], []]);
  });

  it('sends a server with a limit the requests that it allows, and all others elsewhere', () => {
    const stages = [{ id: 'x', address: 'x:1', layers: { from: 0, to: 9 } }];
    const limit = { type: 'limit', perSecond: 2 } as const;
    registry.recordLimit('x', { limit, sentMs: 0, source: 'request' });
    expect([usableIds(), registry.limitWaitMs('x', 'request')]).toEqual([['y'], 500]);
    expect(registry.chainEngines('drafts', testModel)).toMatchObject([
      { id: 'x', acceptsRequests: false },
      { id: 'y', acceptsRequests: true },
    ]);
    nowMs = 500;
    expect(usableIds()).toEqual(['x', 'y']);
    registry.reserve(stages, 100).cancel();
    expect(usableIds()).toEqual(['x', 'y']);
    registry.reserve(stages, 100).release();
    expect(usableIds()).toEqual(['y']);
    nowMs = 1_000;
    registry.recordControl('x');
    expect(usableIds()).toEqual(['y']);
  });

  it('counts no request where a running one changes its path', () => {
    const stages = [{ id: 'x', address: 'x:1', layers: { from: 0, to: 9 } }];
    const limit = { type: 'limit', perSecond: 2 } as const;
    registry.recordLimit('x', { limit, sentMs: 0, source: 'request' });
    nowMs = 500;
    registry.reserve(stages, 100, new Set(['x']));
    expect(usableIds()).toEqual(['x', 'y']);
  });

  it('adds the work of other VMs until it is out of date', () => {
    const stages = [{ id: 'x', address: 'x:1', layers: { from: 0, to: 9 } }];
    registry.reserve(stages, 100);
    const servers = new Map([['x', { reserved: 500, running: 2 }]]);
    registry.mergePeerWork('other', { servers, crossingPerMs: 0 });
    expect(reserved('x')).toBe(1_400);
    expect(registry.running('x')).toBe(3);
    nowMs = 3_100;
    expect(reserved('x')).toBe(900);
  });

  it('uses the memory share that an engine reports while the report is recent', () => {
    registry.recordReport('x', { pace: 1, memoryShare: 0.9 });
    const capacity = registry.chainEngines('drafts', testModel)[0]?.capacity ?? 0;
    expect(reserved('x')).toBeCloseTo(0.9 * capacity);
    nowMs = 900;
    expect(reserved('x')).toBe(0);
  });

  it('sums the use of links between failure domains over all VMs', () => {
    registry.list([server('x'), server('y', { failureDomain: 'b', layers: { from: 9, to: 18 } })]);
    const tokensPerMs = testModel.domainBytesPerMs / testModel.activationBytes;
    registry.mergePeerWork('other', { servers: new Map(), crossingPerMs: tokensPerMs / 2 });
    expect(registry.crossingShare(testModel)).toBeCloseTo(0.5);
    const stages = ['x', 'y'].map((id) => ({ id, address: `${id}:1`, layers: { from: 0, to: 9 } }));
    registry.reserve(stages, 1_000 * (tokensPerMs / 4));
    expect(registry.crossingShare(testModel)).toBeCloseTo(0.75);
  });
});
