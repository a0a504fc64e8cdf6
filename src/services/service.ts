/**
 * A service, which callers of one workspace reach under one name. A model service is a pipeline of
 * engines; a plain service is a set of equivalent backend servers with a contract for each method.
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
  /** Longest useful time to the first token of an answer, milliseconds. */
  readonly firstTokenTargetMs: number;
  /** Longest useful time between two tokens of an answer, milliseconds. */
  readonly tokenIntervalTargetMs: number;
  /** Largest sum of prompt and answer, tokens. */
  readonly maxTokens: number;
  /**
   * Minimum throughput of the service, tokens per second; no plan may reduce the model's throughput
   * below the sum over its services. If undefined, each layer only has to be held by some engine.
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
