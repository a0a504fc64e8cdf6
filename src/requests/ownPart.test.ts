import { createRandom } from '../random/createRandom';
import { ownPart } from './ownPart';

describe('ownPart', () => {
  it('is an even part where nothing is known to be left', () => {
    expect(ownPart(80, { own: 0, others: 80, vms: 8 })).toBe(10);
  });

  it('grows with what the others leave, up to the whole', () => {
    expect(ownPart(80, { own: 0, others: 0, vms: 8 })).toBe(10);
    expect(ownPart(80, { own: 40, others: 0, vms: 8 })).toBe(45);
    expect(ownPart(80, { own: 80, others: 0, vms: 8 })).toBe(80);
  });

  it('keeps VMs that learn of each other late within 2 - 1/vms of the limit', () => {
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
          const part = ownPart(limit, { own, others: total - own, vms });
          const wanted = random.next() < 0.5 ? 0 : random.next() * 2 * limit;
          return Math.min(wanted, Math.max(part, 0));
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
