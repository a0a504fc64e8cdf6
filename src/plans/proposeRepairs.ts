/** Proposes a repair, without executing it, when an engine in use stays unreachable. */

import type { Configuration } from '../configuration/configuration';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import type { Engine } from '../engines/engine';
import { digestObject } from './digestObject';
import { findEngineProblems } from './findEngineProblems';
import { computeEngineLayerRate } from './computeEngineRate';
import type { Intent } from './intent';
import { listModelServices } from './computeNeededThroughput';
import { planIntent } from './planIntent';
import { REPAIR_AFTER_MS } from './planLimits';
import type { PlanEffect } from './planMessage';
import { createReplacement } from './planReplaceEngine';
import type { Plans } from './planState';
import { storePlan } from './storePlan';

/** Prefix of the ids of repairs; sorts before all other plans. */
const REPAIR_PREFIX = 'p0-repair-';

/** Characters of the digest in the id of a repair. */
const DIGEST_LENGTH = 12;

/** Operator name of proposed repairs. */
const PROPOSER = 'citronpass';

/**
 * Proposes one repair: the fastest idle engine with enough memory replaces an engine that has been
 * suspected for a while. Every VM computes the same id, so the plan is stored once.
 */
export function proposeRepairs(state: Plans, at: Occurrence): Decision<Plans, PlanEffect> {
  const { configuration } = state;
  const lost = [...configuration.engine.values()].find((engine) => needsRepair(state, engine, at));
  if (lost === undefined || state.wallOffsetMs === undefined) return { state, effects: [] };
  const next = { ...state, proposed: state.proposed.add(lost.id) };
  const by = chooseReplacement(configuration, lost, state.lost);
  if (by === undefined) {
    const fields = { engine: lost.id, model: lost.model };
    const message = 'no idle engine can take over';
    return { state: next, effects: [{ type: 'log', level: 'warn', message, fields }] };
  }
  const intent: Intent = { type: 'replace-engine', lost: lost.id, by: by.id };
  const digest = digestObject({ intent, lost, by }) ?? '';
  const id = REPAIR_PREFIX + digest.slice(0, DIGEST_LENGTH);
  const planned = planIntent(configuration, intent, id, PROPOSER);
  if (planned.type === 'impossible') return { state: next, effects: [] };
  const { plan } = planned;
  const reason = `${lost.id} does not answer`;
  const wallMs = at.atMs + state.wallOffsetMs;
  const purpose = { type: 'propose-repair' } as const;
  return storePlan(next, { plan, intent, reason, wallMs, purpose }, at);
}

function needsRepair(
  { lost, proposed, configuration }: Plans,
  engine: Engine,
  at: Occurrence,
): boolean {
  const sinceMs = lost.get(engine.id);
  return (
    sinceMs !== undefined &&
    at.atMs - sinceMs >= REPAIR_AFTER_MS &&
    engine.role !== 'idle' &&
    !proposed.has(engine.id) &&
    listModelServices(configuration, engine.model).length > 0
  );
}

function chooseReplacement(
  configuration: Configuration,
  lost: Engine,
  suspected: { readonly has: (id: string) => boolean },
): Engine | undefined {
  const speed = (engine: Engine): number => {
    const kind = configuration.acceleratorKind.get(engine.acceleratorKind);
    return kind === undefined ? 0 : computeEngineLayerRate(engine, kind);
  };
  return [...configuration.engine.values()]
    .filter(({ id, role }) => role === 'idle' && !suspected.has(id))
    .filter(
      (engine) => findEngineProblems(configuration, createReplacement(engine, lost)).length === 0,
    )
    .sort((one, other) => speed(other) - speed(one))[0];
}
