/**
 * Confirm-time conflicts of operators, with and without semantic constraints that protect a pending
 * plan (J. Wang, B. Jin, J. Li: A Transaction Model for Long Running Business Processes), and with a
 * check of the whole revision as baseline. A model of operators' work, not of the daemon.
 */

import { createRandom, type Random } from '../src/random/createRandom';
import { MS_PER_HOUR, MS_PER_MINUTE } from '../src/units';
import type { Measurement } from './measurement';

/** Changes that operators state in a day, and days of one run. */
const CHANGES_PER_DAY = 1200;
const DAYS = 20;
const DAY_MS = 24 * MS_PER_HOUR;

/** Mean time from a plan to its confirm; one plan in twenty is never confirmed. */
const THINK_MS = 10 * MS_PER_MINUTE;
const FORGOTTEN_SHARE = 0.05;

/** A constraint protects a pending plan for this long. */
const PROTECTED_MS = 30 * MS_PER_MINUTE;

/** Objects of the site; a tenth of the changes of workspaces go to the ten largest ones. */
const WORKSPACES = 10_000;
const MODELS = 10;
const ENGINES = 600;
const HOT_SHARE = 0.1;
const HOT_WORKSPACES = 10;

/** Engines that a model can be short of at once before it falls below its need, and for how long. */
const SPARE_ENGINES = 3;
const AWAY_MS = 20 * MS_PER_MINUTE;

interface Work {
  readonly statedAtMs: number;
  readonly confirmAtMs: number;
  /** The object that it reads and writes. */
  readonly key: string;
  /** The model that is short of an engine meanwhile, where there is one. */
  readonly model: string | undefined;
  readonly isForgotten: boolean;
}

type Rule = 'revision' | 'predicates' | 'constraints';

interface Tally {
  readonly confirms: number;
  readonly conflicts: number;
  /** Intents turned away at once because a pending plan is protected. */
  readonly turnedAway: number;
  /** Of these, the ones whose protector was never confirmed. */
  readonly turnedAwayInVain: number;
  readonly lostMinutes: number;
}

/** Measures the three rules on the same work. */
export const plans: Measurement = ({ seed }, print) => {
  const works = drawWorks(createRandom(seed));
  const revision = judge(works, 'revision');
  const predicates = judge(works, 'predicates');
  const constraints = judge(works, 'constraints');
  for (const [rule, tally] of Object.entries({ revision, predicates, constraints })) {
    print(`${rule}: ${JSON.stringify(tally)}`);
  }
  const rate = ({ conflicts, confirms }: Tally): number => conflicts / confirms;
  return Promise.resolve({
    conflictRate: rate(predicates),
    conflictRateWithConstraints: rate(constraints),
    baseline: rate(revision),
    turnedAwayRate: constraints.turnedAway / works.length,
    turnedAwayInVainRate: constraints.turnedAwayInVain / works.length,
    lostMinutesADay: predicates.lostMinutes / DAYS,
    lostMinutesADayWithConstraints: constraints.lostMinutes / DAYS,
    lostMinutesADayBaseline: revision.lostMinutes / DAYS,
  });
};

function drawWorks(random: Random): readonly Work[] {
  return Array.from({ length: CHANGES_PER_DAY * DAYS }, (): Work => {
    const statedAtMs = random.next() * DAYS * DAY_MS;
    const confirmAtMs = statedAtMs + random.exponential(THINK_MS);
    return {
      statedAtMs,
      confirmAtMs,
      isForgotten: random.next() < FORGOTTEN_SHARE,
      ...drawKey(random),
    };
  });
}

/** Four in five changes set a workspace, one in eight a service, the rest an engine. */
function drawKey(random: Random): Pick<Work, 'key' | 'model'> {
  const draw = random.next();
  const isHot = random.next() < HOT_SHARE;
  const workspace = random.integer(isHot ? HOT_WORKSPACES : WORKSPACES);
  if (draw < 0.8) return { key: `workspace/${workspace}`, model: undefined };
  if (draw < 0.925) return { key: `service/${workspace}`, model: undefined };
  const engine = random.integer(ENGINES);
  return { key: `engine/${engine}`, model: `model/${engine % MODELS}` };
}

interface Moment {
  readonly atMs: number;
  readonly work: Work;
  readonly isConfirm: boolean;
}

function judge(works: readonly Work[], rule: Rule): Tally {
  const moments = works
    .flatMap((work): Moment[] => [
      { atMs: work.statedAtMs, work, isConfirm: false },
      { atMs: work.confirmAtMs, work, isConfirm: true },
    ])
    .sort((one, other) => one.atMs - other.atMs);
  const changedAt = new Map<string, number>();
  const away = new Map<string, number[]>();
  const protectors = new Map<string, Work[]>();
  const refused = new Set<Work>();
  const tally = { confirms: 0, conflicts: 0, turnedAway: 0, turnedAwayInVain: 0, lostMinutes: 0 };
  let revisedAt = -1;

  const shortOf = (model: string, atMs: number): number =>
    (away.get(model) ?? []).filter((since) => atMs - since < AWAY_MS).length;
  const isShort = (work: Work, atMs: number): boolean =>
    work.model !== undefined && shortOf(work.model, atMs) >= SPARE_ENGINES;

  const state = (work: Work): void => {
    if (rule !== 'constraints') return;
    const atMs = work.statedAtMs;
    const live = (name: string): readonly Work[] =>
      (protectors.get(name) ?? []).filter((other) => isPending(other, atMs) && !refused.has(other));
    const holder = live(work.key)[0];
    const pending = work.model === undefined ? [] : live(work.model);
    const isFull =
      work.model !== undefined && pending.length + shortOf(work.model, atMs) >= SPARE_ENGINES;
    if (holder !== undefined || isFull) {
      refused.add(work);
      tally.turnedAway += 1;
      if ((holder ?? pending[0])?.isForgotten === true) tally.turnedAwayInVain += 1;
      return;
    }
    for (const name of [work.key, work.model]) {
      if (name !== undefined) protectors.set(name, [...live(name), work]);
    }
  };

  const confirm = (work: Work): void => {
    if (refused.has(work) || work.isForgotten) return;
    tally.confirms += 1;
    const { statedAtMs, confirmAtMs, key, model } = work;
    const isChanged = (changedAt.get(key) ?? -1) > statedAtMs;
    const isConflict =
      rule === 'revision' ? revisedAt > statedAtMs : isChanged || isShort(work, confirmAtMs);
    if (isConflict) {
      tally.conflicts += 1;
      tally.lostMinutes += (confirmAtMs - statedAtMs) / MS_PER_MINUTE;
      return;
    }
    changedAt.set(key, confirmAtMs);
    revisedAt = confirmAtMs;
    if (model !== undefined) away.set(model, [...(away.get(model) ?? []), confirmAtMs]);
  };

  for (const { work, isConfirm } of moments) (isConfirm ? confirm : state)(work);
  return tally;
}

/** Whether a plan that was stated still holds its constraints. */
function isPending(work: Work, atMs: number): boolean {
  const isConfirmed = !work.isForgotten && atMs > work.confirmAtMs;
  return !isConfirmed && atMs - work.statedAtMs < PROTECTED_MS;
}
