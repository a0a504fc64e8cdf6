import { createContentArrivals } from './createContentArrivals';

function createVm() {
  let nowMs = 0;
  const arrivals = createContentArrivals(() => nowMs);
  return {
    ...arrivals,
    setTime: (ms: number) => {
      nowMs = ms;
    },
    /** Records so many requests that differ but for the parts. */
    recordMany: (count: number, ...parts: readonly string[]) => {
      for (let number = 0; number < count; number += 1) {
        arrivals.record([`request:${parts.join()}-${number}`, ...parts]);
      }
    },
  };
}

describe('createContentArrivals', () => {
  it('counts requests by content, for half after ten seconds', () => {
    const vm = createVm();
    vm.recordMany(4, 'part:a');
    vm.setTime(10_000);
    vm.recordMany(1, 'part:a');
    expect([vm.rateOf('part:a'), vm.rateOf('part:b')]).toEqual([3, 0]);
  });

  it('finds a part widespread that nearly all requests hold', () => {
    const vm = createVm();
    vm.recordMany(7, 'part:a', 'part:b');
    vm.recordMany(2, 'part:a');
    expect([vm.isWidespread('part:a'), vm.isWidespread('part:b')]).toEqual([true, false]);
  });

  it('finds nothing widespread among few requests', () => {
    const vm = createVm();
    vm.recordMany(3, 'part:a');
    expect(vm.isWidespread('part:a')).toBe(false);
  });
});
