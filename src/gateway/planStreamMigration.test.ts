import { planStreamMigration } from './planStreamMigration';

const migration = { drainMs: 2_000, remainingEvents: 100, meanGapMs: 40, random: 0 };

describe('planStreamMigration', () => {
  it('leaves a stream in place that will end in time', () => {
    expect(planStreamMigration({ ...migration, remainingEvents: 45 })).toBeUndefined();
  });

  it('spreads the moves of all other streams over the second half of the drain', () => {
    const moves = [0, 0.25, 0.5, 0.75, 0.99].map((random) =>
      Math.round(planStreamMigration({ ...migration, random }) ?? 0),
    );
    expect(moves).toEqual([1140, 1330, 1520, 1710, 1892]);
  });

  it('moves a stream whose pace is not known yet', () => {
    expect(planStreamMigration({ ...migration, meanGapMs: 0, remainingEvents: 1 })).toBe(1_140);
  });
});
