/** Replays the load of large fleets whose VMs learn late of each other's work. */

import { computeCrossDomainCost } from './computeCrossDomainCost';
import { chooseChain } from './chooseChain';
import { findChain } from './findChain';
import { testModel } from './testModel';
import { playFleetLoad } from './testFleetLoad';
import type { FleetChoice, FleetLoad, FleetLoadOptions } from './testFleetLoad';

const model = {
  ...testModel,
  tokenLayerMb: 0.005325,
  meanAnswerTokens: 178,
  activationBytes: 21_300,
  domainBytesPerMs: 937_500,
};

/** Engines of a fleet of 195 VMs, and of one of 72. */
const LARGE_FLEET = {
  a: { h100: 1, a100s: 3, l4: 26, t4: 12 },
  b: { h100: 1, a100s: 5, l4: 14, t4: 25 },
  c: { h100: 1, a100s: 2, l4: 17, t4: 24 },
  d: { h100: 1, a100s: 3, l4: 26, t4: 12 },
  e: { a100s: 5, l4: 14, t4: 24 },
};
const GROWN_FLEET = {
  a: { h100: 1, a100s: 2, l4: 14, t4: 7 },
  b: { a100s: 3, l4: 7, t4: 15 },
  c: { h100: 1, a100s: 1, l4: 9, t4: 15 },
  d: { a100s: 2, l4: 14, t4: 7 },
};

/** Share of the links between failure domains that new streams may use; the rest is for repairs. */
const MAX_CROSSING_SHARE = 0.5;

const search = {
  layers: { from: 0, to: model.layers },
  domainDelayMs: model.domainDelayMs,
  excluded: new Set<string>(),
};

/** The least cost by the loads as they are known. */
const createGreedyChoice = (): FleetChoice => (engines, request) => {
  const crossDomainMs = computeCrossDomainCost(model, request.crossingShare);
  return findChain({ ...search, ...request, crossDomainMs, engines, isEntry: true });
};

const createChoice =
  (vms: number): FleetLoadOptions['createChoice'] =>
  (random) =>
  (engines, request) => {
    const crossDomainMs = computeCrossDomainCost(model, request.crossingShare);
    const known = { engines, vms, isRecovery: false, random };
    return chooseChain({ ...search, ...request, ...known, crossDomainMs });
  };

const play = (options: Pick<FleetLoadOptions, 'engines' | 'vms' | 'rate' | 'createChoice'>) =>
  playFleetLoad({ ...options, model, seconds: 2, seed: 1 });

const rejectedShare = ({ rejected, streams }: FleetLoad): number => rejected / streams;

const fleets = [
  { name: '195 VMs', engines: LARGE_FLEET, vms: 39, rate: 258 },
  { name: '72 VMs', engines: GROWN_FLEET, vms: 18, rate: 152 },
];

describe.each(fleets)('the load of $name', ({ engines, vms, rate }) => {
  const total = Object.keys(engines).length * vms;

  it('is turned away for want of memory in less than one of a hundred streams', () => {
    const load = play({ engines, vms, rate, createChoice: createChoice(total) });
    expect(rejectedShare(load)).toBeLessThan(0.01);
    expect(load.unplaced).toBe(0);
  });

  it('is turned away at double rate less than half as often as by the least known cost', () => {
    const fleet = { engines, vms, rate: rate * 2 };
    const load = play({ ...fleet, createChoice: createChoice(total) });
    const greedy = play({ ...fleet, createChoice: createGreedyChoice });
    expect(rejectedShare(load)).toBeLessThan(rejectedShare(greedy) / 2);
    expect(load.meanCrossingShare).toBeLessThan(MAX_CROSSING_SHARE);
  });
});
