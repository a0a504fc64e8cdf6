/** Plays a fleet of VMs that send to one limited backend server, on a virtual clock, for tests. */

import type { Random } from '../random/createRandom';
import type { LimitReport, RequestLimits } from './createRequestLimits';
import { createRequestLimits } from './createRequestLimits';

export interface LimitedFleetOptions {
  readonly vms: number;
  /** Requests a second that the server takes; it says so from `LIMIT_FROM_MS` on. */
  readonly perSecond: number;
  /** Requests a second that callers want from the server, over all VMs. */
  readonly demandPerSecond: number;
  /** Mean length of the pauses in which they want none, and of the time between them, milliseconds. */
  readonly pauseMs: number;
  /** Mean time between two faults, milliseconds. */
  readonly faultGapMs: number;
  readonly random: Random;
}

export interface LimitedFleetRun {
  /**
   * Times at which the server received something, milliseconds; without what VMs sent that have started and do
   * not know of the limit yet.
   */
  readonly receivedMs: readonly number[];
  readonly faults: readonly string[];
}

export const LIMIT_FROM_MS = 2_000;
export const LIMIT_TO_MS = 32_000;

const STEP_MS = 10;
const REPEAT_MS = 500;
const REPLY_MS = 50;
const DATAGRAM_MS = 20;
const DATAGRAM_LOSS = 0.2;

/** Time from the start of a VM until it has read the records of the others, and serves callers. */
const START_MS = 300;

/** Time until the VMs know of a new one, at most. */
const MAX_JOIN_MS = 1_000;

/** Share of what is sent that are queries and orders. */
const CONTROL_SHARE = 0.1;

const server = { id: 'x', bornMs: 1 };

interface Vm {
  readonly name: string;
  limits: RequestLimits;
  startedMs: number;
  frozenUntilMs: number;
  /** Until when the VM hears neither the store nor other VMs. */
  cutUntilMs: number;
  members: readonly string[];
}

interface Event {
  readonly atMs: number;
  readonly vm: Vm;
  /** The run of the VM that it is for. */
  readonly limits: RequestLimits;
  readonly run: () => void;
}

type Fault = (vm: Vm) => void;

/** Runs the fleet for a few seconds longer than the server is limited. */
export function runLimitedFleet(options: LimitedFleetOptions): LimitedFleetRun {
  const { perSecond, demandPerSecond, faultGapMs, pauseMs, random } = options;
  let nowMs = 0;
  let events: readonly Event[] = [];
  const vms: Vm[] = [];
  const receivedMs: number[] = [];
  const faults: string[] = [];

  const schedule = (vm: Vm, delayMs: number, run: () => void): void => {
    events = [...events, { atMs: nowMs + delayMs, vm, limits: vm.limits, run }];
  };
  const start = (vm: Vm): RequestLimits => {
    const startedMs = nowMs;
    const limits = createRequestLimits({
      now: () => nowMs,
      log: () => undefined,
      count: () => undefined,
      vm: vm.name,
      vms: () => (nowMs - startedMs < START_MS / 2 ? undefined : vm.members),
      random: random.next,
    });
    limits.onNews(() => {
      tell(vm, limits.reports());
    });
    return limits;
  };
  const tell = (from: Vm, reports: readonly LimitReport[]): void => {
    if (nowMs < from.cutUntilMs) return;
    for (const to of vms) {
      if (to === from || random.next() < DATAGRAM_LOSS) continue;
      schedule(to, random.next() * DATAGRAM_MS, () => {
        if (nowMs >= to.cutUntilMs) to.limits.merge(reports);
      });
    }
  };
  const addVm = (): void => {
    const name = `vm-${vms.length}`;
    const names = [...vms.map((vm) => vm.name), name];
    const vm: Vm = {
      name,
      limits: undefined as unknown as RequestLimits,
      startedMs: nowMs,
      frozenUntilMs: 0,
      cutUntilMs: 0,
      members: names,
    };
    vm.limits = start(vm);
    for (const other of vms) {
      const learn = (): void => {
        if (nowMs >= other.cutUntilMs) other.members = names;
        else schedule(other, other.cutUntilMs - nowMs, learn);
      };
      schedule(other, nowMs === 0 ? 0 : random.next() * MAX_JOIN_MS, learn);
    }
    vms.push(vm);
  };
  const send = (vm: Vm): void => {
    const kind = random.next() < CONTROL_SHARE ? 'control' : 'request';
    if (vm.limits.waitMs(server, kind) > 0) return;
    vm.limits.spend(server);
    const isNew = vm.startedMs > 0 && vm.limits.reports().length === 0;
    if (!isNew) receivedMs.push(nowMs);
    const sentMs = nowMs;
    const isLimited = nowMs >= LIMIT_FROM_MS && nowMs < LIMIT_TO_MS;
    schedule(vm, random.next() * REPLY_MS, () => {
      const limit = isLimited
        ? ({ type: 'limit', perSecond } as const)
        : ({ type: 'none' } as const);
      vm.limits.record({ server, limit, sentMs, source: 'request' });
    });
  };
  const faultsByName: Readonly<Record<string, Fault>> = {
    restart: (vm) => {
      vm.limits = start(vm);
      vm.startedMs = nowMs;
    },
    'all restart': () => {
      for (const vm of vms) {
        vm.limits = start(vm);
        vm.startedMs = nowMs;
      }
    },
    join: addVm,
    freeze: (vm) => {
      vm.frozenUntilMs = nowMs + random.next() * 3_000;
    },
    cut: (vm) => {
      vm.cutUntilMs = nowMs + random.next() * 6_000;
    },
  };
  for (let count = 0; count < options.vms; count += 1) addVm();
  let isPausing = false;
  let nextPauseMs = random.exponential(pauseMs);
  let nextFaultMs = LIMIT_FROM_MS + random.exponential(faultGapMs);
  for (; nowMs < LIMIT_TO_MS + 3_000; nowMs += STEP_MS) {
    const due = events.filter(({ atMs, vm }) => Math.max(atMs, vm.frozenUntilMs) <= nowMs);
    events = events.filter((event) => !due.includes(event));
    // What was meant for an earlier run of a VM is lost with it.
    for (const { run, vm, limits } of due) if (vm.limits === limits) run();
    for (const vm of vms) {
      if (nowMs < vm.frozenUntilMs || nowMs - vm.startedMs < START_MS) continue;
      const isRepeating = (nowMs - vm.startedMs) % REPEAT_MS === 0;
      if (isRepeating) tell(vm, vm.limits.reports());
      const wanted = (demandPerSecond * STEP_MS) / 1_000 / vms.length;
      if (!isPausing && random.next() < wanted) send(vm);
    }
    if (nowMs >= nextPauseMs) {
      isPausing = !isPausing;
      nextPauseMs = nowMs + random.exponential(pauseMs);
    }
    if (nowMs >= nextFaultMs) {
      const name = random.pick(Object.keys(faultsByName));
      faultsByName[name]?.(random.pick(vms));
      faults.push(name);
      nextFaultMs = nowMs + random.exponential(faultGapMs);
    }
  }
  return { receivedMs, faults };
}
