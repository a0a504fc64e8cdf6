/** Proposes, and never carries out, a repair where an engine in use stays lost. */

import type { Configuration } from '../configuration/configuration';
import type { Decision } from '../decisions/decision';
import type { Occurrence } from '../decisions/primitive';
import type { Engine } from '../engines/engine';
import { digestObject } from './digestObject';
import { engineProblems } from './engineProblems';
import { engineLayerTokens } from './engineRate';
import type { Intent } from './intent';
import { servicesOf } from './neededThroughput';
import { planIntent } from './planIntent';
import { REPAIR_AFTER_MS } from './planLimits';
import type { PlanEffect } from './planMessage';
import { takeOver } from './planReplaceEngine';
import type { Plans } from './planState';
import { storePlan } from './storePlan';

/** Start of the ids of repairs; sorts before all other plans. */
const REPAIR_PREFIX = 'p0-repair-';

/** Characters of the digest in such an id. */
const DIGEST_LENGTH = 12;

/** Who repairs are proposed by. */
const PROPOSER = 'citronpass';

/**
 * Proposes one repair: the fastest idle engine with enough memory takes over from an engine that has
 * been lost for a while. Every VM works out the same id, so the plan is stored once.
 */
export function proposeRepairs(state: Plans, at: Occurrence): Decision<Plans, PlanEffect> {
  const { configuration } = state;
  const lost = [...configuration.engine.values()].find((engine) => needsRepair(state, engine, at));
  if (lost === undefined || state.wallOffsetMs === undefined) return { state, effects: [] };
  const noted = { ...state, proposed: state.proposed.add(lost.id) };
  const by = findSpare(configuration, lost, state.lost);
  if (by === undefined) {
    const fields = { engine: lost.id, model: lost.model };
    const message = 'no idle engine can take over';
    return { state: noted, effects: [{ type: 'log', level: 'warn', message, fields }] };
  }
  const intent: Intent = { type: 'replace-engine', lost: lost.id, by: by.id };
  const digest = digestObject({ intent, lost, by }) ?? '';
  const id = REPAIR_PREFIX + digest.slice(0, DIGEST_LENGTH);
  const planned = planIntent(configuration, intent, id, PROPOSER);
  if (planned.type === 'impossible') return { state: noted, effects: [] };
  const { plan } = planned;
  const reason = `${lost.id} does not answer`;
  const wallMs = at.atMs + state.wallOffsetMs;
  const purpose = { type: 'propose-repair' } as const;
  return storePlan(noted, { plan, intent, reason, wallMs, purpose }, at);
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
    servicesOf(configuration, engine.model).length > 0
  );
}

function findSpare(
  configuration: Configuration,
  lost: Engine,
  gone: { readonly has: (id: string) => boolean },
): Engine | undefined {
  const speed = (engine: Engine): number => {
    const kind = configuration.acceleratorKind.get(engine.acceleratorKind);
    return kind === undefined ? 0 : engineLayerTokens(engine, kind);
  };
  return [...configuration.engine.values()]
    .filter(({ id, role }) => role === 'idle' && !gone.has(id))
    .filter((engine) => engineProblems(configuration, takeOver(engine, lost)).length === 0)
    .sort((one, other) => speed(other) - speed(one))[0];
}
