/**
 * Builds a mixed fleet from a seed: accelerators of four kinds, layer ranges that are uneven, overlap
 * and are held several times, and links that differ a hundredfold.
 */

import type { Configuration } from '../src/configuration/configuration';
import { createConfiguration } from '../src/configuration/createConfiguration';
import type { AcceleratorKind, Engine, LayerRange, Model } from '../src/engines/engine';
import type { FailureDomain } from '../src/failureDomains/failureDomain';
import type { Link } from '../src/links/link';
import { createRandom, type Random } from '../src/random/createRandom';
import type { Workspace } from '../src/workspaces/workspace';

/** Name of the one model service that each workspace has. */
export const SERVICE = 'drafter';

/** Bandwidth between failure domains, bytes a second: from 0.1 to 10 Gbit/s. */
const LINK_BYTES_PER_SECOND = [1.25e7, 1.25e8, 6e8, 1.25e9] as const;

const ACCELERATOR_KINDS: readonly AcceleratorKind[] = [
  describeKind('large', 80e9, 800, 14, 6, 64),
  describeKind('middle', 48e9, 1100, 20, 9, 64),
  describeKind('small', 40e9, 1500, 30, 14, 48),
  describeKind('old', 32e9, 2200, 45, 22, 32),
];

function describeKind(
  id: string,
  memoryBytes: number,
  decodeBaseMicros: number,
  decodeMicrosPerSequence: number,
  prefillMicrosPerToken: number,
  maxBatch: number,
): AcceleratorKind {
  return {
    id,
    memoryBytes,
    decodeBaseMicros,
    decodeMicrosPerSequence,
    prefillMicrosPerToken,
    maxBatch,
  };
}

/** Sizes of a fleet. */
export interface FleetSize {
  /** Time to the first token that the services promise, milliseconds. */
  readonly firstTokenTargetMs?: number;
  readonly engines: number;
  readonly workspaces: number;
}

/**
 * @param seed the same seed builds the same fleet
 * @param size engines and workspaces; from 100 engines on, three regions with three domains each
 */
export function createFleet(seed: number, size: FleetSize): Configuration {
  const random = createRandom(seed);
  const domains = createDomains(size.engines < 100 ? 1 : 3);
  const model = createModel(random);
  const engines = createEngines(random, model, size.engines);
  const workspaces = createWorkspaces(size.workspaces);
  return {
    ...createConfiguration(),
    revision: 1,
    failureDomain: byId(domains),
    link: new Map(createLinks(random, domains).map((link) => [`${link.from}/${link.to}`, link])),
    acceleratorKind: byId(ACCELERATOR_KINDS),
    model: byId([model]),
    engine: byId(engines),
    backendServer: new Map(
      engines.map(({ id }, index) => {
        const failureDomain = random.pick(domains).id;
        const address = { host: '127.0.0.1', port: 10_000 + index };
        return [
          id,
          { id, kind: 'engine', failureDomain, address, checksFencing: true, leaving: false },
        ];
      }),
    ),
    workspace: byId(workspaces),
    service: new Map(
      workspaces.map(({ id }) => [
        `${id}/${SERVICE}`,
        {
          kind: 'model',
          id: SERVICE,
          workspace: id,
          model: model.id,
          firstTokenTargetMs: size.firstTokenTargetMs ?? 1300,
          tokenIntervalTargetMs: 200,
          maxTokens: 8192,
        },
      ]),
    ),
  };
}

function byId<Item extends { readonly id: string }>(items: readonly Item[]): Map<string, Item> {
  return new Map(items.map((item) => [item.id, item]));
}

function createDomains(regions: number): readonly FailureDomain[] {
  return Array.from({ length: regions * 3 }, (_, index) => ({
    id: `domain${index}`,
    region: `region${Math.floor(index / 3)}`,
  }));
}

function createModel(random: Random): Model {
  return {
    id: 'drafter-model',
    layers: 40 + random.integer(25),
    bytesPerLayer: 1.2e9,
    kvBytesPerTokenLayer: 4096,
    activationBytes: 16_384,
  };
}

/** Sections of two to four cuts, each held by engines in turn; some hold some layers more. */
function createEngines(random: Random, model: Model, count: number): readonly Engine[] {
  const sections = cutSections(random, model.layers);
  return Array.from({ length: count }, (_, index): Engine => {
    const kind = random.pick(ACCELERATOR_KINDS);
    const section = sections[index % sections.length] ?? { from: 0, to: model.layers };
    return {
      id: `engine${index}`,
      acceleratorKind: kind.id,
      accelerators: 2 + random.integer(2),
      uplinkBytesPerSecond: random.pick([1.25e9, 3e9]),
      model: model.id,
      modelVersion: '1',
      layers: widen(random, section, model.layers),
      role: 'mixed',
    };
  });
}

function cutSections(random: Random, layers: number): readonly LayerRange[] {
  const count = 3 + random.integer(2);
  const cuts = Array.from({ length: count - 1 }, (_, index) => {
    const even = (layers * (index + 1)) / count;
    return Math.round(even + (random.next() - 0.5) * (layers / count) * 0.5);
  });
  const borders = [0, ...cuts, layers];
  return borders.slice(1).map((to, index) => ({ from: borders[index] ?? 0, to }));
}

function widen(random: Random, section: LayerRange, layers: number): LayerRange {
  if (random.next() < 0.7) return section;
  return {
    from: Math.max(0, section.from - random.integer(4)),
    to: Math.min(layers, section.to + random.integer(4)),
  };
}

function createLinks(random: Random, domains: readonly FailureDomain[]): readonly Link[] {
  return domains.flatMap((from) =>
    domains
      .filter((to) => to.id !== from.id)
      .map((to) => ({
        from: from.id,
        to: to.id,
        bytesPerSecond: random.pick(LINK_BYTES_PER_SECOND),
        delayMs: from.region === to.region ? 0.3 + 0.5 * random.next() : 15 + 20 * random.next(),
      })),
  );
}

/** One large workspace, whose callers send most; all have the same share. */
function createWorkspaces(count: number): readonly Workspace[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `workspace${index}`,
    share: 1,
    limits: { requestsPerSecond: 1e6, tokensPerSecond: 1e9, concurrentRequests: 1e6 },
    tokenHashes: [],
  }));
}
