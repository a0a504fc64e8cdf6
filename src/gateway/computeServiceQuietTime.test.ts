import { createListedServer } from '../chains/testEngine';
import { computeServiceQuietTime } from './computeServiceQuietTime';

const quietTimes: Readonly<Record<string, number>> = { x: 900, y: 400, gone: 0 };

const compute = (ids: readonly string[]): number =>
  computeServiceQuietTime(
    {
      servers: () => ids.map((id) => createListedServer(id, { isDraining: id === 'gone' })),
      quietMs: (id) => quietTimes[id] ?? 0,
    },
    'drafts',
  );

describe('computeServiceQuietTime', () => {
  it('is the time until the first server takes requests again', () => {
    expect(compute(['x', 'y'])).toBe(400);
    expect(compute(['x', 'gone'])).toBe(900);
  });

  it('is nothing where a server takes requests or there is none', () => {
    expect(compute(['x', 'z'])).toBe(0);
    expect(compute([])).toBe(0);
  });
});
