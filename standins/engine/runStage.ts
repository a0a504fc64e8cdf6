/**
 * Runs one stage of a route on a stand-in engine: prepares KV, runs the stage's layers, sends the
 * activation to the next stage and returns its result.
 */

import { request as send } from 'undici';
import type { AddressedStage } from '../../src/contracts/engineContract';
import type { Receipt } from '../../src/requests/tokenFrame';
import { sleep } from '../http/sleep';
import { runLayers, type Activation } from './computeToken';
import type { EngineFaults, EngineSettings } from './engineSettings';
import type { KvCache } from './createKvCache';

/** Input of a stage, as the previous stage sends it. */
export interface StageInput {
  readonly request: string;
  readonly attempt: number;
  readonly position: number;
  /** Tokens before this position, prompt included. */
  readonly tokens: number;
  readonly activation: Activation;
  /** This stage and the stages after it. */
  readonly route: readonly AddressedStage[];
}

export type StageResult =
  | {
      readonly type: 'ran';
      readonly activation: Activation;
      readonly receipts: readonly Receipt[];
    }
  | { readonly type: 'stage-failed'; readonly engine: string; readonly detail: string };

/** The engine, as a stage uses it. */
export interface StageHost {
  readonly settings: EngineSettings;
  readonly faults: () => EngineFaults;
  readonly kv: KvCache;
  readonly isCancelled: (request: string, attempt: number) => boolean;
  readonly onRun: (input: StageInput, stage: AddressedStage, prefilled: number) => void;
}

/** Timeout for the next stage, milliseconds. */
const NEXT_STAGE_TIMEOUT_MS = 30_000;
/** Cost of importing KV, relative to running the prefix again. */
const KV_IMPORT_COST_RATIO = 0.1;

/**
 * Runs a stage and all stages after it.
 *
 * @param host the engine
 * @param input the activation and the rest of the route
 */
export async function runStage(host: StageHost, input: StageInput): Promise<StageResult> {
  const [stage, ...rest] = input.route;
  const { id } = host.settings;
  if (stage === undefined) return { type: 'ran', activation: input.activation, receipts: [] };
  if (!holdsLayers(host, stage)) {
    return { type: 'stage-failed', engine: id, detail: 'does not hold these layers' };
  }
  const prefilled = await prepareKv(host, input, stage);
  await sleep(host.settings.stepMs + host.faults().delayMs);
  await sleep(host.faults().stallMs);
  if (host.isCancelled(input.request, input.attempt)) {
    return { type: 'stage-failed', engine: id, detail: 'cancelled' };
  }
  host.onRun(input, stage, prefilled);
  host.kv.set(input.request, { layers: stage.layers, tokens: input.tokens });
  const activation = runLayers(input.activation, stage.layers);
  const after = await runNext(rest, { ...input, activation, route: rest });
  if (after.type !== 'ran') return after;
  const { attempt, position } = input;
  const receipt = { engine: id, layers: stage.layers, attempt, position };
  return { ...after, receipts: [receipt, ...after.receipts] };
}

function holdsLayers(host: StageHost, stage: AddressedStage): boolean {
  const { layers } = host.settings.state;
  return stage.layers.from >= layers.from && stage.layers.to <= layers.to;
}

async function prepareKv(
  host: StageHost,
  input: StageInput,
  stage: AddressedStage,
): Promise<number> {
  const held = host.kv.get(input.request);
  const hasSameLayers =
    held?.layers.from === stage.layers.from && held.layers.to === stage.layers.to;
  const missing = input.tokens - (hasSameLayers ? held.tokens : 0);
  if (missing <= 1) return 0;
  const imported = stage.kvImport === undefined ? 0 : Math.min(missing, stage.kvImport.tokens);
  const prefilled = missing - imported;
  const cost = prefilled + imported * KV_IMPORT_COST_RATIO;
  await sleep(cost * host.settings.prefillMsPerToken);
  return prefilled;
}

async function runNext(rest: readonly AddressedStage[], input: StageInput): Promise<StageResult> {
  const [next] = rest;
  if (next === undefined) return { type: 'ran', activation: input.activation, receipts: [] };
  const { host, port } = next.address;
  try {
    const { statusCode, body } = await send(`http://${host}:${port}/v1/activations`, {
      method: 'POST',
      body: JSON.stringify(input),
      headersTimeout: NEXT_STAGE_TIMEOUT_MS,
    });
    const text = await body.text();
    if (statusCode === 200) return JSON.parse(text) as StageResult;
    return { type: 'stage-failed', engine: next.engine, detail: `status ${statusCode}` };
  } catch (error) {
    return { type: 'stage-failed', engine: next.engine, detail: String(error) };
  }
}
