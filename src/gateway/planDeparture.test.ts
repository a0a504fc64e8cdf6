import { planDeparture } from './planDeparture';

const departure = { drainMs: 2_000, eventsLeft: 100, meanGapMs: 40, draw: 0 };

describe('planDeparture', () => {
  it('lets a stream end that will end in time', () => {
    expect(planDeparture({ ...departure, eventsLeft: 30 })).toBeUndefined();
  });

  it('spreads the moves of all other streams over the drain', () => {
    const moves = [0, 0.25, 0.5, 0.75, 0.99].map((draw) =>
      Math.round(planDeparture({ ...departure, draw }) ?? 0),
    );
    expect(moves).toEqual([280, 560, 840, 1120, 1389]);
  });

  it('moves a stream whose pace is not known yet', () => {
    expect(planDeparture({ ...departure, meanGapMs: 0, eventsLeft: 1 })).toBe(280);
  });
});
