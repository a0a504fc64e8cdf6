import type { ListedServer } from '../chains/layerEngine';
import { createListedServer } from '../chains/testEngine';
import { computeServiceWaitTime } from './computeServiceWaitTime';

const quietTimes: Readonly<Record<string, number>> = { x: 900 };
const limitWaits: Readonly<Record<string, number>> = { x: 300, y: 400, z: Infinity };

const compute = (...servers: readonly ListedServer[]): number =>
  computeServiceWaitTime(
    {
      servers: () => servers,
      quietMs: (id) => quietTimes[id] ?? 0,
      limitWaitMs: (id) => limitWaits[id] ?? 0,
    },
    'drafts',
  );

const [x, y, z, free] = ['x', 'y', 'z', 'free'].map((id) => createListedServer(id)) as [
  ListedServer,
  ListedServer,
  ListedServer,
  ListedServer,
];

describe('computeServiceWaitTime', () => {
  it('is the time until the first server takes a request, whatever keeps it', () => {
    expect(compute(x, z)).toBe(900);
    expect(compute(x, y, z)).toBe(400);
    expect(compute(z)).toBe(Infinity);
  });

  it('leaves out servers that receive no requests themselves', () => {
    const later = { ...free, layers: { from: 4, to: 9 } };
    const empty = { ...free, layers: undefined };
    expect(compute(y, later, empty, { ...free, isDraining: true })).toBe(400);
  });

  it('is nothing where a server takes requests or there is none', () => {
    expect(compute(x, free)).toBe(0);
    expect(compute({ ...free, kind: undefined, layers: undefined }, y)).toBe(0);
    expect(compute()).toBe(0);
  });
});
