import { createListedServer as server } from '../chains/testEngine';
import { trackListing } from './trackListing';
import type { Listing, TrackedServers } from './trackListing';

const apply = (tracked: TrackedServers, listing: Partial<Listing>): TrackedServers =>
  trackListing(tracked, { listed: [], era: 0, nowMs: 0, keepMs: 0, ...listing });

/** Ids of the servers in use at a time, with their starts and whether they drain. */
const used = (tracked: TrackedServers, nowMs: number): readonly string[] =>
  [...tracked.values()]
    .filter(({ missing }) => missing === undefined || missing.keptUntilMs > nowMs)
    .map(
      ({ server: { id, bornMs, isDraining } }) => `${id} ${bornMs}${isDraining ? ' drains' : ''}`,
    );

const none: TrackedServers = new Map();

describe('trackListing', () => {
  it('drops a missing server at once, or after the time for which it is kept', () => {
    const tracked = apply(none, { listed: [server('x'), server('y')] });
    expect(used(apply(tracked, { listed: [server('y')], nowMs: 10 }), 10)).toEqual(['y 5']);
    const kept = apply(tracked, { listed: [server('y')], nowMs: 10, keepMs: 1_700 });
    expect(used(kept, 1_709)).toEqual(['x 5', 'y 5']);
    expect(used(kept, 1_710)).toEqual(['y 5']);
  });

  it('takes a server that is listed again within an era, also late', () => {
    const gone = apply(apply(none, { listed: [server('x')] }), { nowMs: 10 });
    expect(used(apply(gone, { listed: [server('x')], nowMs: 20 }), 20)).toEqual(['x 5']);
  });

  it('keeps a server that the next era lacks until it lists itself again, twice in a row', () => {
    let tracked = apply(none, { listed: [server('x')] });
    tracked = apply(tracked, { era: 1, nowMs: 10, keepMs: 1_700 });
    expect(used(tracked, 10)).toEqual(['x 5']);
    tracked = apply(tracked, { era: 2, nowMs: 1_000, keepMs: 1_700 });
    expect(used(tracked, 1_000)).toEqual(['x 5']);
    expect(used(tracked, 1_710)).toEqual([]);
    tracked = apply(tracked, { era: 2, listed: [server('x')], nowMs: 1_500 });
    expect(used(tracked, 9_000)).toEqual(['x 5']);
  });

  it('takes a server that lists itself in the new era only after the time for which it was kept', () => {
    let tracked = apply(none, { listed: [server('x')] });
    tracked = apply(tracked, { era: 1, nowMs: 10, keepMs: 1_700 });
    tracked = apply(tracked, { era: 1, listed: [server('x')], nowMs: 2_500 });
    expect(used(tracked, 2_500)).toEqual(['x 5']);
  });

  it('keeps the later start for a while when the next era lists an earlier one', () => {
    let tracked = apply(none, { listed: [server('x', { bornMs: 9 })] });
    const old = { era: 1, listed: [server('x')] };
    tracked = apply(tracked, { ...old, nowMs: 10, keepMs: 1_700 });
    expect(used(tracked, 1_709)).toEqual(['x 9']);
    tracked = apply(tracked, { ...old, nowMs: 1_800 });
    expect(used(tracked, 1_800)).toEqual([]);
    tracked = apply(tracked, { era: 1, listed: [server('x', { bornMs: 9 })], nowMs: 1_900 });
    expect(used(tracked, 1_900)).toEqual(['x 9']);
  });

  it('leaves a draining server draining until it starts again', () => {
    let tracked = apply(none, { listed: [server('x', { isDraining: true })] });
    tracked = apply(tracked, { era: 1, listed: [server('x')] });
    tracked = apply(tracked, { era: 1, listed: [server('x')], nowMs: 5_000 });
    expect(used(tracked, 5_000)).toEqual(['x 5 drains']);
    tracked = apply(tracked, { era: 1, listed: [server('x', { bornMs: 8 })], nowMs: 6_000 });
    expect(used(tracked, 6_000)).toEqual(['x 8']);
  });

  it('leaves a server out that had left before the change, until it starts again', () => {
    let tracked = apply(apply(none, { listed: [server('x')] }), { nowMs: 10 });
    tracked = apply(tracked, { era: 1, listed: [server('x')], nowMs: 2_000, keepMs: 1_700 });
    expect(used(tracked, 2_000)).toEqual([]);
    tracked = apply(tracked, { era: 1, listed: [server('x', { bornMs: 8 })], nowMs: 3_000 });
    expect(used(tracked, 3_000)).toEqual(['x 8']);
  });

  it('forgets a server long after it left', () => {
    const gone = apply(apply(none, { listed: [server('x')] }), { nowMs: 10 });
    expect(apply(gone, { nowMs: 30_009 }).size).toBe(1);
    expect(apply(gone, { nowMs: 30_010 }).size).toBe(0);
  });
});
