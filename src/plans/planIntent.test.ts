import type { Configuration } from '../configuration/configuration';
import type { Engine } from '../engines/engine';
import { applyChanges } from './applyChanges';
import type { Intent } from './intent';
import { planIntent, type PlanningResult } from './planIntent';
import { createConfiguration } from '../configuration/createConfiguration';
import {
  createEngineIntent,
  createEngine,
  createServiceIntent,
  SITE,
  WORKSPACE,
} from './testing/siteIntents';

/** Creates the site with these engines in routing and a service on model desk. */
function createSite(engines: readonly Engine[], services: readonly Intent[] = []): Configuration {
  const intents = [
    SITE,
    WORKSPACE,
    ...engines.map((item) => createEngineIntent(item)),
    ...services,
  ];
  return intents.reduce(applyIntent, createConfiguration());
}

function applyIntent(configuration: Configuration, intent: Intent): Configuration {
  const planned = planIntent(configuration, intent, 'p', 'amina');
  if (planned.type === 'impossible') throw new Error(JSON.stringify(planned.problems));
  const changes = planned.plan.steps.flatMap((step) =>
    step.type === 'commit' ? step.changes : [],
  );
  return applyChanges(configuration, changes);
}

function describeSteps(planned: PlanningResult): readonly string[] {
  if (planned.type === 'impossible') throw new Error(JSON.stringify(planned.problems));
  return planned.plan.steps.map((step) => {
    if (step.type === 'commit') {
      return `commit ${step.changes.map(({ type, kind, key }) => `${type} ${kind} ${key}`).join(', ')}`;
    }
    if (step.type === 'order') return `order ${step.engine}`;
    return step.type === 'drain' ? `drain ${step.backendServer}` : `drain-vm ${step.vm}`;
  });
}

function describeProblems(planned: PlanningResult): readonly string[] {
  if (planned.type === 'planned') throw new Error('a plan');
  return planned.problems.map(({ problem, remedy }) => `${problem}. ${remedy}`);
}

const plan = (configuration: Configuration, intent: Intent): PlanningResult =>
  planIntent(configuration, intent, 'p1', 'amina');

describe('planIntent', () => {
  const both = createSite(
    [createEngine('e1'), createEngine('e2')],
    [createServiceIntent('repairs')],
  );

  it('loads a new engine before it gets work', () => {
    expect(describeSteps(plan(createSite([]), createEngineIntent(createEngine('e1'))))).toEqual([
      'commit put backendServer e1, put engine e1',
      'order e1',
      'commit put engine e1',
    ]);
  });

  it('routes to the new engine of a model before it removes the old one', () => {
    const site = createSite(
      [createEngine('e1'), createEngine('e2', { model: 'seat' })],
      [createServiceIntent('r')],
    );
    const move: Intent = { type: 'move-model', model: 'desk', from: ['e1'], to: ['e2'] };
    const planned = plan(site, move);
    expect(describeSteps(planned)).toEqual([
      'commit put engine e2',
      'drain e2',
      'order e2',
      'commit put engine e2',
      'commit put engine e1',
      'drain e1',
    ]);
    if (planned.type === 'impossible') throw new Error('impossible');
    const [{ before, during, after }] = planned.plan.throughput as [never];
    expect([before, during, after]).toEqual([before, before, before]);
    expect(planned.plan.cost).toEqual({ seconds: 82, weightStoreBytes: 16e9 });
  });

  it('redistributes the layers when several engines replace one', () => {
    const site = createSite([createEngine('e1')], [createServiceIntent('r')]);
    const kinds = ['e2', 'e3'].map((id) => createEngine(id, { model: 'seat' }));
    const wide = kinds.map((item) => createEngineIntent(item)).reduce(applyIntent, site);
    const planned = plan(wide, {
      type: 'move-model',
      model: 'desk',
      from: ['e1'],
      to: ['e2', 'e3'],
    });
    if (planned.type === 'impossible') throw new Error('impossible');
    const orders = planned.plan.steps.flatMap((step) =>
      step.type === 'order' ? [step.wanted] : [],
    );
    expect(orders.map(({ layers }) => layers)).toEqual([
      { from: 0, to: 4 },
      { from: 4, to: 8 },
    ]);
  });

  it('retires an engine: marks it as leaving, drains it and removes it', () => {
    expect(describeSteps(plan(both, { type: 'retire-backend-server', server: 'e2' }))).toEqual([
      'commit put backendServer e2, put engine e2',
      'order e2',
      'drain e2',
      'commit remove engine e2, remove backendServer e2',
    ]);
  });

  it('predicts the lower throughput while an engine changes', () => {
    const planned = plan(both, { type: 'set-engine', engine: 'e1', modelVersion: '2' });
    if (planned.type === 'impossible') throw new Error('impossible');
    const [figures] = planned.plan.throughput;
    expect(figures?.during).toBeCloseTo((figures?.before ?? 0) / 2);
    expect(planned.plan.risks.join()).toMatch(/kiambu\/repairs falls from \d+ to \d+ tokens\/s/);
  });

  it('refuses to retire the last engine of a model in use, and names a remedy', () => {
    const site = createSite([createEngine('e1')], [createServiceIntent('repairs')]);
    expect(describeProblems(plan(site, { type: 'retire-backend-server', server: 'e1' }))).toEqual([
      'No engine holds layers 0 to 7 of model desk. Add an engine with these layers (add-backend-server), or move one to them (move-model)',
    ]);
  });

  it('refuses a plan that falls below the needed capacity', () => {
    const needy = createServiceIntent('repairs');
    if (needy.type !== 'put-service' || needy.service.kind !== 'model') throw new Error('kind');
    const service = { ...needy.service, neededTokensPerSecond: 8000 };
    const site = createSite([createEngine('e1'), createEngine('e2')], [{ ...needy, service }]);
    const [problem] = describeProblems(plan(site, { type: 'retire-backend-server', server: 'e2' }));
    expect(problem).toMatch(/would reach 5555 tokens\/s and its services need 8000.*another 2445/);
  });

  it('refuses unknown names, layers that do not exist and insufficient memory', () => {
    const site = createSite([]);
    expect(describeProblems(plan(site, createServiceIntent('r', 'ghost')))).toEqual([
      'There is no model ghost. Correct the name, or add the model first',
    ]);
    const outside = createEngine('e1', { layers: { from: 4, to: 9 } });
    expect(describeProblems(plan(site, createEngineIntent(outside)))[0]).toMatch(
      /model desk has 8/,
    );
    const small = {
      ...site,
      model: new Map([['desk', { ...both.model.get('desk'), bytesPerLayer: 4e9 } as never]]),
    };
    expect(describeProblems(plan(small, createEngineIntent(createEngine('e1'))))[0]).toMatch(
      /has memory for 5 layers of model desk, not 8 \(32.0 GB in 21.6 GB\)/,
    );
  });

  it('refuses malformed intents', () => {
    const wrong = { type: 'put-service', service: { kind: 'model' } } as unknown as Intent;
    expect(describeProblems(plan(both, wrong))[0]).toMatch(/service/);
    const unknownType = { type: 'dance' } as unknown as Intent;
    expect(describeProblems(plan(both, unknownType))[0]).toMatch(/The intent is malformed/);
  });
});
