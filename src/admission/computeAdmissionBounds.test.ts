/** Guards against less urgent streams that take the room of urgent ones, and against priorities that starve. */

import fc from 'fast-check';
import { computeAdmissionBounds } from './computeAdmissionBounds';

const contention = { priorities: [0, 1, 2], urgentTargetMs: 500 };

const IDS = Array.from({ length: 2_000 }, (_, index) => `request-${index}`);

const bound = (id: string, priority: number, targetMs = 500) =>
  computeAdmissionBounds({ id, priority, targetMs }, contention);

/** An id whose stream is not among those that compete as the most urgent do. */
const ordinaryId = IDS.find((id) => bound(id, 2).maxShare < bound(id, 0).maxShare) ?? '';

describe('computeAdmissionBounds', () => {
  it('keeps the last part of the memory for more urgent streams, rank by rank', () => {
    const bounds = [0, 1, 2].map((priority) => bound(ordinaryId, priority));
    expect(bounds.map(({ maxShare }) => maxShare)).toEqual([
      1,
      expect.closeTo(0.93),
      expect.closeTo(0.86),
    ]);
  });

  it('keeps engines whose first events are nearly late for the most urgent, whatever the own target', () => {
    const delays = [0, 1, 2].map(
      (priority) => bound(ordinaryId, priority, 1_000).maxFirstEventDelayMs,
    );
    expect(delays.map(Math.round)).toEqual([1_500, 575, 400]);
  });

  it('lets four of ten streams of each priority compete as the most urgent do', () => {
    for (const priority of [1, 2]) {
      const equal = IDS.filter((id) => bound(id, priority).maxShare === bound(id, 0).maxShare);
      expect(equal.length / IDS.length).toBeCloseTo(0.4, 1);
    }
  });

  it('takes a priority that no route has, as of a workspace, by its place among them', () => {
    expect(bound(ordinaryId, -1)).toEqual(bound(ordinaryId, 0));
    expect(bound(ordinaryId, 9).maxShare).toBeCloseTo(0.79);
  });

  it('never gives a less urgent stream more', () => {
    fc.assert(
      fc.property(fc.string(), fc.nat(9), fc.nat(9), (id, one, other) => {
        const [urgent, later] = one < other ? [one, other] : [other, one];
        const more = bound(id, urgent);
        const less = bound(id, later);
        return (
          less.maxShare <= more.maxShare && less.maxFirstEventDelayMs <= more.maxFirstEventDelayMs
        );
      }),
    );
  });
});
