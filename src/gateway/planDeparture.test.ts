import { planDeparture } from './planDeparture';

const departure = { drainMs: 2_000, eventsLeft: 100, meanGapMs: 40, draw: 0 };

describe('planDeparture', () => {
  it('lets a stream end that will end in time', () => {
    expect(planDeparture({ ...departure, eventsLeft: 45 })).toBeUndefined();
  });

  it('spreads the moves of all other streams over the second half of the drain', () => {
    const moves = [0, 0.25, 0.5, 0.75, 0.99].map((draw) =>
      Math.round(planDeparture({ ...departure, draw }) ?? 0),
    );
    expect(moves).toEqual([1140, 1330, 1520, 1710, 1892]);
  });

  it('moves a stream whose pace is not known yet', () => {
    expect(planDeparture({ ...departure, meanGapMs: 0, eventsLeft: 1 })).toBe(1_140);
  });
});
