import { joinContentTally } from './joinContentTally';

const known = { servers: ['a', 'b'], crashes: 2, disproved: ['a'], lastCrashAtMs: 100 };

describe('joinContentTally', () => {
  it('takes over a report of an unknown content', () => {
    const report = { content: 'c', servers: ['a'], disproved: [], ageMs: 30 };
    expect(joinContentTally(undefined, report, 100)).toEqual({
      servers: ['a'],
      crashes: 1,
      disproved: [],
      lastCrashAtMs: 70,
    });
  });

  it('adds crashes and those that were disproved', () => {
    const report = { content: 'c', servers: ['b', 'c'], disproved: ['b'], ageMs: 50 };
    expect(joinContentTally(known, report, 200)).toEqual({
      servers: ['a', 'b', 'c'],
      crashes: 3,
      disproved: ['a', 'b'],
      lastCrashAtMs: 150,
    });
  });

  it('changes nothing for a report without news, whatever its age', () => {
    const report = { content: 'c', servers: ['b'], disproved: ['a'], ageMs: 0 };
    expect(joinContentTally(known, report, 200)).toBe(known);
  });

  it('does not take a correction for a new crash', () => {
    const report = { content: 'c', servers: ['b'], disproved: ['b'], ageMs: 0 };
    expect(joinContentTally(known, report, 200)).toEqual({ ...known, disproved: ['a', 'b'] });
  });
});
