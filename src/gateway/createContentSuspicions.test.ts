import type { ListedServer } from '../chains/layerEngine';
import { createListedServer } from '../chains/testEngine';
import { createContentSuspicions } from './createContentSuspicions';

const servers = ['a', 'b', 'c', 'd', 'e'].map((id) => createListedServer(id, { bornMs: 1 }));
const [a, b, c] = servers as [ListedServer, ListedServer, ListedServer];

function createVm() {
  let nowMs = 0;
  const lines: string[] = [];
  let end: (server: ListedServer) => void = () => undefined;
  let answer: (server: ListedServer) => void = () => undefined;
  const suspicions = createContentSuspicions({
    registry: {
      onEnded: (listener) => {
        end = listener;
      },
      onAnswer: (listener) => {
        answer = listener;
      },
    },
    now: () => nowMs,
    log: (message) => lines.push(message),
    count: () => undefined,
  });
  return {
    ...suspicions,
    heldMs: (content: string): number => suspicions.heldMs([`request:${content}`]),
    recordHarmlessRun: (content: string) => {
      suspicions.recordHarmlessRun([`request:${content}`]);
    },
    recordHarmlessRunFor: (content: string, ranMs: number) => {
      suspicions.recordHarmlessRun([`request:${content}`], ranMs);
    },
    recordLossAfter: (server: ListedServer, content: string, ranMs: number) => {
      suspicions.recordLoss(server, [`request:${content}`], { ranMs });
    },
    recordLoss: (server: ListedServer, content: string) => {
      suspicions.recordLoss(server, [`request:${content}`]);
    },
    lines,
    end: (server: ListedServer) => {
      end(server);
    },
    heldMsOf: suspicions.heldMs,
    recordHarmlessRunOf: suspicions.recordHarmlessRun,
    /** Ends a server that loses one run for each list of contents. */
    crashAll: (server: ListedServer, ...runs: readonly (readonly string[])[]) => {
      for (const contents of runs) suspicions.recordLoss(server, contents);
      end(server);
    },
    answer: (server: ListedServer) => {
      answer(server);
    },
    crash: (server: ListedServer, ...contents: readonly string[]) => {
      for (const content of contents) suspicions.recordLoss(server, [`request:${content}`]);
      end(server);
    },
    setTime: (ms: number) => {
      nowMs = ms;
    },
  };
}

describe('createContentSuspicions', () => {
  it('refuses a content under which three servers have ended', () => {
    const vm = createVm();
    vm.crash(a, 'bad');
    vm.crash(b, 'bad');
    expect(vm.heldMs('bad')).toBe(0);
    vm.crash(c, 'bad');
    expect([vm.heldMs('bad') > 0, vm.heldMs('other')]).toEqual([true, 0]);
    expect(vm.lines.filter((line) => line === 'content held back')).toHaveLength(1);
  });

  it('counts a server once, however many runs it lost', () => {
    const vm = createVm();
    vm.crash(a, 'bad', 'bad', 'bad');
    expect(vm.heldMs('bad')).toBe(0);
  });

  it('counts a loss that is noticed after the end of its server', () => {
    const vm = createVm();
    vm.crash(a, 'bad');
    vm.crash(b, 'bad');
    vm.end(c);
    vm.recordLoss(c, 'bad');
    expect(vm.heldMs('bad')).toBeGreaterThan(0);
  });

  it('counts no loss whose server has not ended', () => {
    const vm = createVm();
    for (const server of servers) vm.recordLoss(server, 'sound');
    expect(vm.heldMs('sound')).toBe(0);
  });

  it('counts no loss long before the end of its server', () => {
    const vm = createVm();
    for (const server of servers) vm.recordLoss(server, 'sound');
    vm.setTime(3_000);
    for (const server of servers) vm.end(server);
    expect(vm.heldMs('sound')).toBe(0);
  });

  it('takes a crash back if the server answers', () => {
    const vm = createVm();
    for (const server of [a, b, c]) vm.crash(server, 'sound');
    vm.answer(b);
    expect([vm.heldMs('sound'), vm.lines.at(-1)]).toEqual([0, 'content released']);
  });

  it('clears a content that runs without harm of the crashes before', () => {
    const vm = createVm();
    vm.crash(a, 'sound');
    vm.crash(b, 'sound');
    vm.recordHarmlessRun('sound');
    vm.setTime(2_500);
    vm.crash(c, 'sound');
    expect(vm.heldMs('sound')).toBe(0);
  });

  it('lists what must outlast the VMs: what is refused, and what one more crash has refused', () => {
    const vm = createVm();
    for (const server of [a, b, c]) vm.crash(server, 'refused');
    for (const server of servers.slice(3)) vm.crash(server, 'near');
    vm.crashAll(createListedServer('f', { bornMs: 1 }), ['request:once', 'part:once']);
    expect(vm.listKept().map(({ content }) => content)).toEqual([
      'request:refused',
      'request:near',
    ]);
    const next = createVm();
    next.merge(vm.listKept());
    next.crash(createListedServer('g', { bornMs: 1 }), 'near');
    expect(next.heldMs('near')).toBeGreaterThan(0);
  });

  it('is not misled by runs that last no longer than those before the crashes', () => {
    const vm = createVm();
    for (const server of [a, b, c]) {
      vm.recordHarmlessRunFor('bad', 500);
      vm.recordLossAfter(server, 'bad', 1_000);
      vm.end(server);
    }
    expect(vm.heldMs('bad')).toBeGreaterThan(0);
    vm.recordHarmlessRunFor('bad', 2_000);
    expect(vm.heldMs('bad')).toBe(0);
  });

  it('does not suspect a content that has just run without harm', () => {
    const vm = createVm();
    vm.recordHarmlessRun('sound');
    vm.setTime(1_900);
    for (const server of servers) vm.crash(server, 'sound');
    expect(vm.heldMs('sound')).toBe(0);
  });

  it('adds up the crashes that several VMs saw, and counts a crash that two saw once', () => {
    const [one, other] = [createVm(), createVm()];
    one.crash(a, 'bad');
    one.crash(b, 'bad');
    other.crash(b, 'bad');
    other.merge(one.takeReports(10));
    expect(other.heldMs('bad')).toBe(0);
    other.crash(c, 'bad');
    one.merge(other.takeReports(10));
    expect([one.heldMs('bad') > 0, other.heldMs('bad') > 0]).toEqual([true, true]);
  });

  it('clears a content on all VMs that one has seen run without harm', () => {
    const [one, other] = [createVm(), createVm()];
    for (const server of [a, b, c]) one.crash(server, 'sound');
    other.merge(one.takeReports(10));
    other.recordHarmlessRun('sound');
    one.merge(other.takeReports(10));
    expect([one.heldMs('sound'), other.heldMs('sound')]).toEqual([0, 0]);
  });

  it('holds a content back at a VM that has started since', () => {
    const vm = createVm();
    for (const server of [a, b, c]) vm.crash(server, 'bad');
    vm.takeReports(10);
    vm.setTime(1_000);
    const started = createVm();
    started.merge(vm.takeReports(10));
    expect(started.heldMs('bad')).toBeGreaterThan(0);
  });

  it('reports what is new first, and repeats the rest after a while', () => {
    const vm = createVm();
    vm.crash(a, 'x', 'y');
    expect(vm.takeReports(10).map(({ content }) => content)).toEqual(['request:x', 'request:y']);
    expect(vm.takeReports(10)).toEqual([]);
    vm.setTime(1_000);
    vm.crash(b, 'y');
    expect(vm.takeReports(1).map(({ content }) => content)).toEqual(['request:y']);
    expect(vm.takeReports(1).map(({ content }) => content)).toEqual(['request:x']);
  });

  describe('with parts of prompts', () => {
    const FIRST = 'part:s:first';
    const BAD = 'part:s:bad';
    const hold = (vm: ReturnType<typeof createVm>): void => {
      servers.slice(0, 4).forEach((server, index) => {
        vm.crashAll(server, [`request:${index}`, FIRST, BAD]);
      });
    };

    it('refuses requests with a part under which four servers have ended', () => {
      const vm = createVm();
      hold(vm);
      expect(vm.heldMsOf(['request:new', FIRST, BAD])).toBeGreaterThan(0);
    });

    it('refuses no request with only some of the parts that can’t be told apart', () => {
      const vm = createVm();
      hold(vm);
      expect(vm.heldMsOf(['request:new', FIRST])).toBe(0);
      expect(vm.heldMsOf(['request:new', BAD])).toBe(0);
    });

    it('refuses each request with the part once the others have run without harm', () => {
      const vm = createVm();
      hold(vm);
      vm.recordHarmlessRunOf(['request:new', FIRST]);
      expect(vm.heldMsOf(['request:other', BAD])).toBeGreaterThan(0);
      expect(vm.heldMsOf(['request:other', FIRST])).toBe(0);
    });

    it('does not suspect sound parts of streams that ran beside', () => {
      const vm = createVm();
      for (const server of servers.slice(0, 4)) {
        const { id } = server;
        vm.crashAll(server, [`request:bad-${id}`, BAD], [`request:sound-${id}`, `part:s:${id}`]);
      }
      expect(vm.heldMsOf(['request:new', BAD])).toBeGreaterThan(0);
      expect(vm.heldMsOf(['request:new', 'part:s:a', 'part:s:b'])).toBe(0);
    });
  });

  describe('with sound streams that are lost beside harmful ones again and again', () => {
    const FIRST = 'part:s:first';
    const BAD = 'part:s:bad';
    const BESIDE = 'part:s:beside';
    const requests = {
      sound: ['request:sound', FIRST],
      beside: ['request:beside', FIRST, BESIDE],
      bad: ['request:bad', FIRST, BAD],
    } as const;
    const createVmWithCrashes = (): ReturnType<typeof createVm> => {
      const vm = createVm();
      for (const [index, server] of servers.entries()) {
        for (const contents of Object.values(requests)) vm.recordArrival(contents);
        vm.recordArrival(requests.beside);
        const isBeside = index > 0;
        vm.crashAll(
          server,
          [`request:${index}`, FIRST, BAD],
          ...(isBeside ? [[`request:beside-${index}`, FIRST, BESIDE]] : []),
        );
      }
      return vm;
    };

    it('refuses the likeliest part while the others show whether they do harm', () => {
      const vm = createVmWithCrashes();
      expect(vm.heldMsOf(requests.bad)).toBe(10_000);
      expect([vm.heldMsOf(requests.sound), vm.heldMsOf(requests.beside)]).toEqual([0, 0]);
      vm.recordHarmlessRunOf(requests.beside);
      expect(vm.heldMsOf(requests.bad)).toBeGreaterThan(10_000);
    });

    it('lets all of them run again if none has shown it', () => {
      const vm = createVmWithCrashes();
      vm.setTime(10_000);
      expect(vm.heldMsOf(requests.bad)).toBe(0);
    });

    // A harmful request ran again before a sound stream beside it could be complete, and ended its server too.
    it('refuses the likeliest part for as long as a stream takes to show that it does no harm', () => {
      const vm = createVmWithCrashes();
      vm.setTime(6_000);
      expect(vm.heldMsOf(requests.bad)).toBeGreaterThan(0);
      vm.recordHarmlessRunOf(requests.beside);
      vm.setTime(10_000);
      expect(vm.heldMsOf(requests.bad)).toBeGreaterThan(0);
    });

    it('sends a request with the likeliest part to one server only', () => {
      const vm = createVmWithCrashes();
      expect([requests.bad, requests.beside].map(vm.isSuspect)).toEqual([true, false]);
    });
  });

  it('tries a part soon that nearly all requests hold, however many servers have ended', () => {
    const vm = createVm();
    for (const [index, server] of servers.entries()) {
      const contents = [`request:${index}`, 'part:s:common'];
      vm.recordArrival(contents);
      vm.crashAll(server, contents);
    }
    const next = ['request:next', 'part:s:common'];
    expect(vm.heldMsOf(next)).toBe(5_000);
    vm.setTime(5_000);
    servers.forEach(() => {
      vm.recordArrival(next);
    });
    expect([vm.heldMsOf(next), vm.isSuspect(next)]).toEqual([0, true]);
    vm.recordHarmlessRunOf(next);
    expect(vm.isSuspect(next)).toBe(false);
  });

  it('does not run a harmful request again sooner when its caller repeats it', () => {
    const vm = createVm();
    for (const server of [a, b, c]) vm.crash(server, 'bad');
    vm.setTime(10_000);
    for (let sent = 0; sent < 8; sent += 1) vm.recordArrival(['request:bad']);
    expect(vm.heldMs('bad')).toBe(10_000);
  });

  it('goes on refusing a content however many others are suspected', () => {
    const vm = createVm();
    for (const server of [a, b, c]) vm.crash(server, 'bad');
    for (let number = 0; number < 2_500; number += 1) {
      vm.setTime(number);
      vm.crash(a, `other-${number}`);
    }
    expect(vm.heldMs('bad')).toBeGreaterThan(0);
    expect(vm.takeReports(10_000).length).toBeLessThanOrEqual(1_000);
  });

  it('lets a content run on trial after a while, and refuses it for longer if a server ends', () => {
    const vm = createVm();
    for (const server of [a, b, c]) vm.crash(server, 'bad');
    vm.setTime(19_999);
    expect(vm.heldMs('bad')).toBe(1);
    vm.setTime(20_000);
    expect([vm.heldMs('bad'), vm.isSuspect(['request:bad'])]).toEqual([0, true]);
    vm.crash(servers[3] ?? a, 'bad');
    expect(vm.heldMs('bad')).toBe(80_000);
  });

  it('clears a content by its trial', () => {
    const vm = createVm();
    for (const server of [a, b, c]) vm.crash(server, 'sound');
    vm.setTime(20_000);
    vm.recordHarmlessRun('sound');
    expect(vm.isSuspect(['request:sound'])).toBe(false);
  });

  it('lets a content run again long after its last crash', () => {
    const vm = createVm();
    for (const server of [a, b, c]) vm.crash(server, 'bad');
    vm.setTime(600_000);
    expect(vm.heldMs('bad')).toBe(0);
  });
});
