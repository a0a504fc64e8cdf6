/** Finds out whether streams of different priorities compete for the engines of a service. */

import type { RouteRule } from '../catalog/catalog';
import type { Contention } from './contention';

/** @returns undefined if all streams of the service have the same priority */
export function findContention(
  service: string,
  rules: readonly RouteRule[],
): Contention | undefined {
  const streams = rules.filter(
    ({ form, shares }) => form === 'stream' && shares.some((share) => share.service === service),
  );
  const priorities = [...new Set(streams.map(({ priority }) => priority))].sort(
    (one, other) => one - other,
  );
  const [first] = priorities;
  if (priorities.length < 2) return undefined;
  const targets = streams.filter(({ priority }) => priority === first);
  return { priorities, urgentTargetMs: Math.min(...targets.map(({ targetMs }) => targetMs)) };
}
