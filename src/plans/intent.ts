/** Changes that an operator requests, before the router has planned the steps. */

import type { BackendServer, BackendServerId } from '../backendServers/backendServer';
import type { Change } from '../configuration/configuration';
import type { Engine, EngineRole, ModelId } from '../engines/engine';
import type { Service, ServiceId } from '../services/service';
import type { VmId } from '../vms/vm';
import type { Workspace, WorkspaceId } from '../workspaces/workspace';

export type Intent =
  | { readonly type: 'put-service'; readonly service: Service }
  | {
      readonly type: 'retire-service';
      readonly workspace: WorkspaceId;
      readonly service: ServiceId;
    }
  | {
      readonly type: 'move-model';
      readonly model: ModelId;
      readonly from: readonly BackendServerId[];
      readonly to: readonly BackendServerId[];
    }
  | {
      readonly type: 'add-backend-server';
      readonly server: BackendServer;
      /** The engine on the server, if it runs one. */
      readonly engine?: Engine;
    }
  | { readonly type: 'retire-backend-server'; readonly server: BackendServerId }
  /** Assigns the layers of an engine that has failed to an idle one. */
  | {
      readonly type: 'replace-engine';
      readonly lost: BackendServerId;
      readonly by: BackendServerId;
    }
  | { readonly type: 'retire-vm'; readonly vm: VmId }
  | { readonly type: 'put-workspace'; readonly workspace: Workspace }
  | {
      readonly type: 'set-engine';
      readonly engine: BackendServerId;
      readonly role?: EngineRole;
      readonly modelVersion?: string;
      readonly adapter?: string;
    }
  /** Objects that only describe the site: failure domains, links, accelerator kinds, models. */
  | { readonly type: 'describe-site'; readonly changes: readonly Change[] };
