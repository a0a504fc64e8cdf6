import type { GatewayWork } from '../gateway/gatewayWork';
import { addWork, subtractWork } from './combineWork';

const work = (
  servers: Readonly<Record<string, readonly [number, number]>>,
  crossingPerMs: number,
): GatewayWork => ({
  servers: new Map(
    Object.entries(servers).map(([id, [reserved, running]]) => [id, { reserved, running }]),
  ),
  crossingPerMs,
});

describe('addWork', () => {
  it('sums what several VMs have on each server and between failure domains', () => {
    const sum = addWork([work({ x: [100, 1] }, 2), work({ x: [50, 2], y: [7, 1] }, 3)]);
    expect(sum).toEqual(work({ x: [150, 3], y: [7, 1] }, 5));
  });
});

describe('subtractWork', () => {
  it('takes out the own part, and no more than there is', () => {
    const sum = work({ x: [150, 3], y: [7, 1] }, 5);
    const own = work({ x: [50, 1], y: [20, 2] }, 9);
    expect(subtractWork(sum, own)).toEqual(work({ x: [100, 2], y: [0, 0] }, 0));
  });
});
