/**
 * Replays contention against the decisions alone: streams of three priorities ask for one and a half times what the
 * engines have memory for. Guards against urgent streams that are refused for the sake of less urgent ones, and against
 * priorities that starve.
 */

import { findChain } from '../chains/findChain';
import type { ChainEngine, Stage } from '../chains/layerEngine';
import { createChainEngine } from '../chains/testEngine';
import { testModel } from '../chains/testModel';
import { createRandom } from '../random/createRandom';
import { computeAdmissionBounds } from './computeAdmissionBounds';
import type { Contention } from './contention';

const PRIORITIES = [0, 1, 2];
const CONTENTION: Contention = { priorities: PRIORITIES, urgentTargetMs: 500 };

const model = testModel;
const TOKENS = model.meanPromptTokens + model.meanAnswerTokens;
const HALF = model.layers / 2;

/** Engines with memory for a hundred streams each, two for each half of the layers. */
const ENGINES = Array.from({ length: 4 }, (_, index) => {
  const from = index < 2 ? 0 : HALF;
  return createChainEngine(`e-${index}`, from, from + HALF, {
    capacity: 100 * HALF * TOKENS,
    slots: 200,
  });
});

interface Served {
  readonly asked: number;
  readonly served: number;
}

/** Plays arrivals of one and the same size; a stream lasts for two seconds. */
function play(contention: Contention, perSecond: number) {
  const random = createRandom(7);
  const counts = new Map<number, Served>(PRIORITIES.map((one) => [one, { asked: 0, served: 0 }]));
  let loads: ReadonlyMap<string, number> = new Map();
  let running: readonly { readonly untilMs: number; readonly stages: readonly Stage[] }[] = [];
  const add = (stages: readonly Stage[], sign: number): void => {
    const next = new Map(loads);
    for (const { id } of stages) next.set(id, (next.get(id) ?? 0) + sign * HALF * TOKENS);
    loads = next;
  };
  const view = (): readonly ChainEngine[] =>
    ENGINES.map((engine) => ({ ...engine, reserved: loads.get(engine.id) ?? 0 }));
  for (let count = 0, nowMs = 0; nowMs < 10_000; count += 1, nowMs += 1_000 / perSecond) {
    for (const { untilMs, stages } of running) if (untilMs <= nowMs) add(stages, -1);
    running = running.filter(({ untilMs }) => untilMs > nowMs);
    const priority = random.pick(PRIORITIES);
    const bounds = computeAdmissionBounds(
      { id: `r-${count}`, priority, targetMs: 500 },
      contention,
    );
    const stages = findChain({
      ...bounds,
      engines: view(),
      layers: { from: 0, to: model.layers },
      tokens: TOKENS,
      fromDomain: 'a',
      domainDelayMs: 0,
      crossDomainMs: 0,
      excluded: new Set(),
      isEntry: true,
    });
    const { asked = 0, served = 0 } = counts.get(priority) ?? {};
    counts.set(priority, { asked: asked + 1, served: served + (stages === undefined ? 0 : 1) });
    if (stages === undefined) continue;
    add(stages, 1);
    running = [...running, { untilMs: nowMs + 2_000, stages }];
  }
  const shares = PRIORITIES.map((one) => {
    const { asked, served } = counts.get(one) ?? { asked: 1, served: 0 };
    return served / asked;
  });
  return { shares };
}

/** Beyond what the engines run in time, and well below it. */
const OVERLOAD_PER_SECOND = 150;
const CALM_PER_SECOND = 40;

describe('streams of three priorities', () => {
  it('are served by their urgency in overload, and none less than a quarter as often as all', () => {
    const { shares } = play(CONTENTION, OVERLOAD_PER_SECOND);
    const [first = 0, second = 0, third = 0] = shares;
    const all = (first + second + third) / 3;
    expect(all).toBeLessThan(0.8);
    expect(first).toBeGreaterThan(second);
    expect(second).toBeGreaterThanOrEqual(third);
    expect(first).toBeGreaterThan(all * 1.15);
    expect(third).toBeGreaterThan(all / 4);
  });

  it('are all served in calm', () => {
    expect(play(CONTENTION, CALM_PER_SECOND).shares).toEqual([1, 1, 1]);
  });

  it('are served alike where the catalog makes no difference between them', () => {
    const alike = { ...CONTENTION, priorities: [3] };
    const [first = 0, , third = 0] = play(alike, OVERLOAD_PER_SECOND).shares;
    expect(Math.abs(first - third)).toBeLessThan(0.1);
  });
});
