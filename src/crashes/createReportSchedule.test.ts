import type { ContentTally } from './contentTally';
import { createReportSchedule } from './createReportSchedule';

function createVm() {
  let nowMs = 0;
  const schedule = createReportSchedule(() => nowMs);
  const tallies = new Map<string, ContentTally>();
  return {
    ...schedule,
    add: (content: string, crashes: number) => {
      const servers = Array.from({ length: crashes }, (_, index) => `s${index}`);
      tallies.set(content, { servers, crashes, disproved: [], lastCrashAtMs: 0 });
    },
    take: (limit = 10, passesOn?: boolean) =>
      schedule
        .takeDue(tallies, limit, passesOn === undefined ? {} : { passesOn })
        .map(([content]) => content),
    setTime: (ms: number) => {
      nowMs = ms;
    },
  };
}

describe('createReportSchedule', () => {
  it('takes new contents first, those with most crashes before the others', () => {
    const vm = createVm();
    vm.add('a', 1);
    expect(vm.take()).toEqual(['a']);
    vm.add('b', 1);
    vm.add('c', 2);
    vm.setTime(1_000);
    expect(vm.take(2)).toEqual(['c', 'b']);
    expect(vm.take()).toEqual(['a']);
  });

  it('repeats a content after a second, or at once if there is news', () => {
    const vm = createVm();
    vm.add('a', 1);
    vm.take();
    vm.setTime(999);
    expect(vm.take()).toEqual([]);
    vm.announce('a', 'seen');
    expect(vm.take()).toEqual(['a']);
    vm.setTime(1_999);
    expect(vm.take()).toEqual(['a']);
  });

  it('leaves what others have seen to relays, until it has seen it too', () => {
    const vm = createVm();
    vm.add('a', 1);
    vm.hear('a');
    expect(vm.take(10, false)).toEqual([]);
    expect(vm.take(10, true)).toEqual(['a']);
    vm.announce('a', 'seen');
    expect(vm.take(10, false)).toEqual(['a']);
  });
});
