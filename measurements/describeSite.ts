/** A configuration of a given size for measurements. */

import { applyRevision } from '../src/configuration/applyRevision';
import type { Change, Configuration } from '../src/configuration/configuration';
import { createConfiguration } from '../src/configuration/createConfiguration';

export interface SiteSize {
  readonly engines: number;
  readonly workspaces: number;
  readonly regions: number;
}

const DOMAINS_PER_REGION = 3;
const MODELS = 10;
const LAYERS = 64;

/** @returns one revision with failure domains, engines, workspaces and a service for each workspace */
export function describeSite({ engines, workspaces, regions }: SiteSize): Configuration {
  const changes = [
    ...repeat(regions * DOMAINS_PER_REGION, (index) => domainOf(index, regions)),
    ...repeat(engines, (index) => serverOf(index, regions)),
    ...repeat(engines, engineOf),
    ...repeat(workspaces, workspaceOf),
    ...repeat(workspaces, serviceOf),
  ];
  const revision = { number: 1, changeId: 'site', operator: 'operator', reason: 'site', changes };
  return applyRevision(createConfiguration(), revision);
}

function repeat(count: number, make: (index: number) => Change): readonly Change[] {
  return Array.from({ length: count }, (_, index) => make(index));
}

function domainName(index: number, regions: number): string {
  return `r${index % regions}-d${Math.floor(index / regions) % DOMAINS_PER_REGION}`;
}

function domainOf(index: number, regions: number): Change {
  const id = domainName(index, regions);
  return {
    type: 'put',
    kind: 'failureDomain',
    key: id,
    value: { id, region: `r${index % regions}` },
  };
}

function serverOf(index: number, regions: number): Change {
  const id = `engine-${index}`;
  const value = {
    id,
    kind: 'engine',
    failureDomain: domainName(index, regions),
    address: { host: `10.2.${index >> 8}.${index & 255}`, port: 9000 },
    checksFencing: index % 2 === 0,
    leaving: false,
  } as const;
  return { type: 'put', kind: 'backendServer', key: id, value };
}

function engineOf(index: number): Change {
  const id = `engine-${index}`;
  const value = {
    id,
    acceleratorKind: `kind-${index % 4}`,
    accelerators: 8,
    uplinkBytesPerSecond: 1e9,
    model: `model-${index % MODELS}`,
    modelVersion: '1',
    layers: { from: 0, to: LAYERS },
    role: 'mixed',
  } as const;
  return { type: 'put', kind: 'engine', key: id, value };
}

function workspaceOf(index: number): Change {
  const id = `w${index}`;
  const limits = { requestsPerSecond: 10, tokensPerSecond: 1000, concurrentRequests: 5 };
  const tokenHashes = [String(index).padStart(64, '0')];
  return { type: 'put', kind: 'workspace', key: id, value: { id, share: 1, limits, tokenHashes } };
}

function serviceOf(index: number): Change {
  const workspace = `w${index}`;
  const value = {
    kind: 'model',
    id: 'drafter',
    workspace,
    model: `model-${index % MODELS}`,
    firstTokenTargetMs: 1300,
    tokenIntervalTargetMs: 26,
    maxTokens: 4096,
  } as const;
  return { type: 'put', kind: 'service', key: `${workspace}/drafter`, value };
}
