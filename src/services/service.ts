/**
 * A service: what the callers of one workspace reach under one name. A model service is a pipeline
 * over engines; a plain service is a set of alike backend servers with a contract for each method.
 */

import type { BackendServerId } from '../backendServers/backendServer';
import type { MethodContract } from '../contracts/methodContract';
import type { ModelId } from '../engines/engine';
import type { WorkspaceId } from '../workspaces/workspace';

/** Name of a service, unique in its workspace. */
export type ServiceId = string;

export interface ModelService {
  readonly kind: 'model';
  readonly id: ServiceId;
  readonly workspace: WorkspaceId;
  readonly model: ModelId;
  /** Time to the first token within which an answer is of use, milliseconds. */
  readonly firstTokenTargetMs: number;
  /** Time between two tokens within which an answer is of use, milliseconds. */
  readonly tokenIntervalTargetMs: number;
  /** Largest prompt and answer together, tokens. */
  readonly maxTokens: number;
  /**
   * Throughput that the service cannot do without, tokens a second; no plan may take the model below
   * the sum over its services. Where it is left out, every layer has to be held by some engine.
   */
  readonly neededTokensPerSecond?: number;
}

export interface PlainService {
  readonly kind: 'plain';
  readonly id: ServiceId;
  readonly workspace: WorkspaceId;
  readonly backendServers: readonly BackendServerId[];
  readonly contracts: readonly MethodContract[];
}

export type Service = ModelService | PlainService;
