/** Judges every call at the end of a run by the backend servers' own logs. */

import { findFailure } from './findFailure';
import type { CallResult } from '../../src/operations/operationMessage';
import type { SoakCall } from './soakCall';
import type { PlainRun } from './soakServer';
import type { World } from './soakWorld';

/** Counts what ran twice, what was refused falsely and what was answered wrongly. */
export function judgeCalls(world: World): void {
  const runs = groupRuns(world.runs);
  for (const call of world.calls) {
    const own = runs.get(call.body) ?? [];
    const misused = runs.get(`{"misuse":"${call.name}"}`) ?? [];
    judgeRuns(world, call, own.length + misused.length);
    judgeRefusals(world, call, own.length);
    for (const { result, canMix } of call.answers) {
      judgeAnswer(world, call, result, canMix ? [...own, ...misused] : own);
    }
    countOutcome(world, call);
  }
}

function groupRuns(runs: readonly PlainRun[]): ReadonlyMap<string, readonly PlainRun[]> {
  const groups = new Map<string, PlainRun[]>();
  for (const run of runs) {
    const group = groups.get(run.body);
    if (group === undefined) groups.set(run.body, [run]);
    else group.push(run);
  }
  return groups;
}

function judgeRuns(world: World, call: SoakCall, runs: number): void {
  if (call.kind === 'lookup' || runs <= 1) return;
  findFailure(world, 'doubled', `${call.name} (${call.kind}) ran ${runs} times`);
}

/**
 * Under a ticket, or without an id, one not-run is final. Under a caller's own key it speaks for the
 * send that it answers, so nothing may have run only where every send got it.
 */
function judgeRefusals(world: World, call: SoakCall, runs: number): void {
  if (call.kind === 'lookup' || runs === 0) return;
  const refused = call.answers.filter(({ result }) => isNotRun(result)).length;
  const isFinal = call.kind === 'own-key' ? refused > 0 && refused === call.sends : refused > 0;
  if (!isFinal) return;
  findFailure(world, 'falseNotRun', `${call.name} (${call.kind}) ran`);
}

function isNotRun(answer: CallResult): boolean {
  return answer.type === 'refused' && answer.refusal.outcome === 'not-run';
}

function judgeAnswer(
  world: World,
  call: SoakCall,
  answer: CallResult,
  runs: readonly PlainRun[],
): void {
  if (answer.type === 'refused') return;
  const { body } = answer.answer;
  const isRight =
    call.kind === 'lookup' ? body === call.path : runs.some((run) => run.answer.body === body);
  if (isRight) return;
  findFailure(world, 'wrongAnswers', `${call.name} (${call.kind}) was answered ${body}`);
}

function countOutcome(world: World, call: SoakCall): void {
  const last = call.answers.at(-1)?.result;
  if (last === undefined) return;
  if (last.type === 'answered') world.findings.answered += 1;
  else if (last.refusal.outcome === 'not-run') world.findings.notRun += 1;
  else if (last.refusal.outcome === 'unknown') world.findings.unknown += 1;
}
