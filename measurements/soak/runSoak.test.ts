import { List, Map } from 'immutable';
import type { Decision } from '../../src/decisions/decision';
import type { Configuration } from '../../src/configuration/configuration';
import type { OperationEffect, PlainAnswer } from '../../src/operations/operationMessage';
import type { OperationsState } from '../../src/operations/operationsState';
import { failures } from './findings';
import { planSoak } from './planSoak';
import { runSoak } from './runSoak';
import { hasFailed, shrinkSoak } from './shrinkSoak';
import type { SoakPlan } from './soakItem';
import type { BreakSides, SoakSides } from './soakWorld';

const STEPS = 120;

/** Items of a run that has to last for a drain and longer. */
const LONG_STEPS = 300;

/** Seeds in which a broken rule has to show. */
const MOST_SEEDS = 8;

/** Breaks the operations side before or after its reducer. */
function breakOperations(
  before: (
    state: OperationsState,
    event: Parameters<SoakSides['operations']>[1],
  ) => readonly [OperationsState, Parameters<SoakSides['operations']>[1]],
): BreakSides {
  return (sides) => ({
    ...sides,
    operations: (state, event) => sides.operations(...before(state, event)),
  });
}

function changeEffects(change: (effect: OperationEffect) => OperationEffect): BreakSides {
  return (sides) => ({
    ...sides,
    operations: (state, event) => {
      const decision: Decision<OperationsState, OperationEffect> = sides.operations(state, event);
      return { ...decision, effects: decision.effects.map(change) };
    },
  });
}

const forgetsAll = breakOperations((state, event) => [
  event.type === 'call-received'
    ? { ...state, running: Map(), retained: Map(), finished: List(), tombstones: List() }
    : state,
  event,
]);

const forgetsWatermarks = breakOperations((state, event) => [
  {
    ...state,
    serialWatermark: 0,
    tickets: state.tickets.map((use) => ({ ...use, watermark: 0 })),
  },
  event,
]);

const ignoresClaims = breakOperations((state, event) => [
  state,
  event.type === 'transacted' && event.result.type === 'conflict'
    ? { ...event, result: { type: 'committed', versions: [1] } }
    : event,
]);

const takesForgone = breakOperations((state, event) => [
  state,
  event.type === 'servers-changed'
    ? { ...event, servers: event.servers.map((server) => ({ ...server, isUsable: true })) }
    : event,
]);

const saysNotRun = changeEffects((effect) => {
  if (effect.type !== 'answer' || effect.result.type !== 'refused') return effect;
  const { refusal } = effect.result;
  if (refusal.outcome !== 'unknown') return effect;
  return { ...effect, result: { type: 'refused', refusal: { ...refusal, outcome: 'not-run' } } };
});

const swapsAnswers: BreakSides = (sides) => {
  let last: PlainAnswer | undefined;
  const swap = changeEffects((effect) => {
    if (effect.type !== 'answer' || effect.result.type !== 'answered') return effect;
    const answer = last ?? effect.result.answer;
    last = effect.result.answer;
    return { ...effect, result: { type: 'answered', answer } };
  });
  return swap(sides);
};

const skipsLedger: BreakSides = (sides) => ({
  ...sides,
  router: (state, event) => {
    const decision = sides.router(state, event);
    if (event.type !== 'stream-message' || event.message.type !== 'frame') return decision;
    const { frame } = event.message;
    const rest = decision.effects.filter(({ type }) => type !== 'deliver');
    return {
      ...decision,
      effects: [{ type: 'deliver', request: event.request, frame }, ...rest],
    };
  },
});

/** Goes back to the first configuration whenever its own timer fires after a later one. */
const reverts: BreakSides = (sides) => {
  let first: Configuration | undefined;
  return {
    ...sides,
    fleet: (state, event) => {
      const decision = sides.fleet(state, event);
      first ??= decision.effects.find(
        (effect) => effect.type === 'configuration-applied',
      )?.configuration;
      const isLater = (first?.revision ?? 0) < state.configuration.applied.revision;
      if (event.type !== 'timer-fired' || first === undefined || !isLater) return decision;
      const back = { type: 'configuration-applied', configuration: first } as const;
      return { ...decision, effects: [...decision.effects, back] };
    },
  };
};

const ignoresWork: BreakSides = (sides) => ({
  ...sides,
  fleet: (state, event) =>
    sides.fleet(state, event.type === 'work-counted' ? { ...event, running: 0 } : event),
});

type ChangePlan = (plan: SoakPlan) => SoakPlan;

const keep: ChangePlan = (plan) => plan;

/** VMs that forget most results. */
const smallMemory: ChangePlan = (plan) => ({ ...plan, remembered: 4 });

/** Three VMs drain in turn, and all engines are slow when their answers have lapsed. */
const manyDrains: ChangePlan = ({ seed }) => ({
  ...planSoak(seed, LONG_STEPS),
  faults: [0, 1, 2, 3, 4, 5].flatMap((pick) => [
    { type: 'drain', pick: pick % 3, atMs: 2500 + pick * 500, forMs: 0 },
    { type: 'engine-stall', pick, atMs: 5500, forMs: 4000 },
  ]),
});

describe('runSoak', () => {
  it('gives the same run for the same seed', () => {
    const plan = planSoak(7, STEPS);
    expect(JSON.stringify(runSoak(plan))).toBe(JSON.stringify(runSoak(planSoak(7, STEPS))));
  });

  it.each([1, 2, 3, 4])('finds nothing that must not be with seed %d', (seed) => {
    const run = runSoak(planSoak(seed, STEPS));
    expect(failures.filter((failure) => run.findings[failure] > 0)).toEqual([]);
    expect(run.findings.answered).toBeGreaterThan(20);
  });

  it.each([
    ['doubled', 'a home that forgets what it ran', forgetsAll, 1],
    ['doubled', 'a home that forgets its watermarks', forgetsWatermarks, 1, smallMemory],
    ['doubled', 'a claim that another VM holds', ignoresClaims, 1],
    ['falseNotRun', 'not-run in place of unknown', saysNotRun, 2],
    ['wrongAnswers', "another call's answer", swapsAnswers, 1],
    ['layerFaults', 'tokens that the ledger did not check', skipsLedger, 1],
    ['lateDispatchToLeaving', 'dispatches to leaving servers', takesForgone, 5],
    ['configReverts', 'an older configuration', reverts, 1],
    ['cutStreams', 'a drain that ignores running work', ignoresWork, 1, manyDrains],
  ] as const)(
    'catches by %s %s',
    (failure, _, breakSides, firstSeed, change: ChangePlan = keep) => {
      const seeds = Array.from({ length: MOST_SEEDS }, (__, index) => firstSeed + index);
      const isCaught = seeds.some(
        (seed) => runSoak(change(planSoak(seed, STEPS)), breakSides).findings[failure] > 0,
      );
      expect(isCaught).toBe(true);
    },
  );

  it('cuts no request when VMs drain one after the other', () => {
    expect(runSoak(manyDrains(planSoak(1, STEPS))).findings.cutStreams).toBe(0);
  });

  it('cuts no request when a VM drains that refused work for a while before', () => {
    const seeds = [156, 462, 3058];
    const cut = seeds.map((seed) => runSoak(planSoak(seed, LONG_STEPS)).findings.cutStreams);
    expect(cut).toEqual([0, 0, 0]);
  });

  it('holds events of overlapping pauses to the later end, so that none comes late to a woken VM', () => {
    expect(runSoak(planSoak(6535, 300)).findings.lateDispatchToLeaving).toBe(0);
  });

  it('takes an answer to a probe that waited out a pause for as old as the pause', () => {
    expect(runSoak(planSoak(7416, 300)).findings.lateDispatchToLeaving).toBe(0);
  });

  it('shrinks a failing run to fewer faults that still fail', () => {
    const plans = Array.from({ length: MOST_SEEDS }, (_, index) => planSoak(index + 1, 60));
    const plan = plans.find((item) => hasFailed(runSoak(item, saysNotRun)));
    if (plan === undefined) throw new Error('No run failed');
    const shrunk = shrinkSoak(plan, saysNotRun, 6);
    expect(hasFailed(shrunk.run)).toBe(true);
    expect(shrunk.plan.faults.length).toBeLessThanOrEqual(plan.faults.length);
  });
});
