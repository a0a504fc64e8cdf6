import { computeLimitShare } from './computeLimitShare';

const vms = Array.from({ length: 8 }, (_, index) => `vm-${index}`);

const sharesOf = (perSecond: number, names = vms): readonly number[] =>
  names.map((vm) => computeLimitShare({ server: 'x', perSecond, vm, vms: names }));

const sum = (values: readonly number[]): number => values.reduce((one, other) => one + other, 0);

describe('computeLimitShare', () => {
  it.each([1, 2.5, 4.7, 40])('divides all of a limit of %d among the VMs', (perSecond) => {
    expect(sum(sharesOf(perSecond))).toBeCloseTo(perSecond, 9);
  });

  it('gives a low limit to a few VMs only', () => {
    expect(sharesOf(1).filter((share) => share > 0)).toEqual([1 / 3, 1 / 3, 1 / 3]);
  });

  it('leaves a request now and then where the limit is nothing', () => {
    expect(sum(sharesOf(0))).toBeCloseTo(0.1, 9);
  });

  it('lets one VM alone have all of it', () => {
    expect(sharesOf(0.5, ['vm-1'])).toEqual([0.5]);
  });

  it('moves few shares when a VM leaves', () => {
    const without = vms.filter((vm) => vm !== 'vm-3');
    const before = new Set(vms.filter((_, index) => sharesOf(3)[index] !== 0));
    const after = without.filter((_, index) => sharesOf(3, without)[index] !== 0);
    expect(after.filter((vm) => !before.has(vm)).length).toBeLessThanOrEqual(1);
  });

  it('gives different VMs the low limits of different servers', () => {
    const holders = ['a', 'b', 'c', 'd', 'e', 'f'].flatMap((server) =>
      vms.filter((vm) => computeLimitShare({ server, perSecond: 0.5, vm, vms }) > 0),
    );
    expect(new Set(holders).size).toBeGreaterThan(3);
  });
});
