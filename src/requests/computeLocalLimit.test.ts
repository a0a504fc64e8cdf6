import { createRandom } from '../random/createRandom';
import { computeLocalLimit } from './computeLocalLimit';

describe('computeLocalLimit', () => {
  it('returns an even part when nothing is known to be unused', () => {
    expect(computeLocalLimit(80, { own: 0, others: 80, vms: 8 })).toBe(10);
  });

  it('grows with the unused remainder, up to the entire limit', () => {
    expect(computeLocalLimit(80, { own: 0, others: 0, vms: 8 })).toBe(10);
    expect(computeLocalLimit(80, { own: 40, others: 0, vms: 8 })).toBe(45);
    expect(computeLocalLimit(80, { own: 80, others: 0, vms: 8 })).toBe(80);
  });

  it('keeps VMs with delayed digests within 2 - 1/vms times the limit', () => {
    const random = createRandom(3);
    const vms = 8;
    const limit = 100;
    let worst = 0;
    for (let run = 0; run < 200; run += 1) {
      let running = new Array<number>(vms).fill(0);
      for (let round = 0; round < 60; round += 1) {
        const seen = running;
        const total = seen.reduce((sum, own) => sum + own, 0);
        running = seen.map((own) => {
          const localLimit = computeLocalLimit(limit, { own, others: total - own, vms });
          const demand = random.next() < 0.5 ? 0 : random.next() * 2 * limit;
          return Math.min(demand, Math.max(localLimit, 0));
        });
        worst = Math.max(
          worst,
          running.reduce((sum, own) => sum + own, 0),
        );
      }
    }
    expect(worst).toBeLessThanOrEqual(limit * (2 - 1 / vms));
    expect(worst).toBeGreaterThan(limit * 0.9);
  });
});
