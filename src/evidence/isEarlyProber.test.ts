/** Guards against an engine that no VM asks, and against VMs that all ask. */

import { isEarlyProber } from './isEarlyProber';

const countProbers = (server: string, vms: number): number =>
  Array.from({ length: vms }, (_, vm) => isEarlyProber({ vm: `vm-${vm}`, server, vms })).filter(
    Boolean,
  ).length;

const SERVERS = Array.from({ length: 200 }, (_, server) => `server-${server}`);

describe('isEarlyProber', () => {
  it('lets every VM of a small fleet ask', () => {
    expect(SERVERS.every((server) => countProbers(server, 8) === 8)).toBe(true);
  });

  it.each([30, 60, 380])('lets some of %d VMs ask, others for each engine', (vms) => {
    const counts = SERVERS.map((server) => countProbers(server, vms));
    expect(Math.min(...counts)).toBeGreaterThanOrEqual(1);
    expect(Math.max(...counts)).toBeLessThanOrEqual(20);
  });
});
