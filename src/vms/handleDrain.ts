/** Drain: out of new answers at once, refuse late comers when answers lapsed, done when work is. */

import { chain } from './chain';
import type { Fleet, FleetDecision } from './fleet';
import { DRAIN_SPREAD_MS } from './fleetConstants';
import type { FleetEvent } from './fleetMessage';
import { sendNews } from './sendNews';
import { withMembership } from './withMembership';

type Event<Type extends FleetEvent['type']> = Extract<FleetEvent, { readonly type: Type }>;

/** Marks this VM as draining and tells others, who leave it out of their answers. */
export function handleDrainStarted(fleet: Fleet, event: Event<'drain-started'>): FleetDecision {
  if (fleet.drain !== undefined) return { state: fleet, effects: [] };
  const { atMs, seed } = event;
  const lapsesAtMs = atMs + fleet.options.answerValidMs + DRAIN_SPREAD_MS;
  const drain = { lapsesAtMs, running: undefined, isDone: false };
  const marked = withMembership(
    { ...fleet, drain },
    { version: fleet.membership.version + 1, isChanged: true },
  );
  return chain(marked, (state) => sendNews(state, atMs, seed));
}

/** Takes note of how much still runs here. */
export function handleWorkCounted(fleet: Fleet, event: Event<'work-counted'>): FleetDecision {
  if (fleet.drain === undefined || fleet.standing.isAccepting) return { state: fleet, effects: [] };
  const state = { ...fleet, drain: { ...fleet.drain, running: event.running } };
  return finishDrain(state, event.atMs, event.seed);
}

/**
 * Ends the drain once answers have lapsed, new work is refused, and a count taken since then is 0.
 *
 * @param fleet the state
 * @param atMs now
 * @param seed fresh randomness
 */
export function finishDrain(fleet: Fleet, atMs: number, seed: number): FleetDecision {
  const { drain, standing, membership } = fleet;
  const isOver = drain?.running === 0 && atMs >= drain.lapsesAtMs && !standing.isAccepting;
  if (drain === undefined || drain.isDone || !isOver) return { state: fleet, effects: [] };
  const done = withMembership(
    { ...fleet, drain: { ...drain, isDone: true } },
    { version: membership.version + 1 },
  );
  return chain(
    done,
    (state) => sendNews(state, atMs, seed),
    (state) => ({ state, effects: [{ type: 'drained' }] }),
  );
}
