import type { GatewayWork } from '../gateway/gatewayWork';
import { sumWork, subtractWork } from './combineWork';

const work = (
  servers: Readonly<Record<string, readonly [number, number]>>,
  crossingPerMs: number,
): GatewayWork => ({
  servers: new Map(
    Object.entries(servers).map(([id, [reserved, running]]) => [id, { reserved, running }]),
  ),
  crossingPerMs,
});

describe('sumWork', () => {
  it('sums the work of several VMs on each server and between failure domains', () => {
    const sum = sumWork([work({ x: [100, 1] }, 2), work({ x: [50, 2], y: [7, 1] }, 3)]);
    expect(sum).toEqual(work({ x: [150, 3], y: [7, 1] }, 5));
  });
});

describe('subtractWork', () => {
  it('subtracts the own part without going below zero', () => {
    const sum = work({ x: [150, 3], y: [7, 1] }, 5);
    const own = work({ x: [50, 1], y: [20, 2] }, 9);
    expect(subtractWork(sum, own)).toEqual(work({ x: [100, 2], y: [0, 0] }, 0));
  });
});
