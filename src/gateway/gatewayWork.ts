/** Load that requests put on the backend servers, as VMs report it to each other. */

/** Load of one VM's requests on one backend server. */
export interface ServerLoad {
  /** Tokens times layers that running requests are expected to use. */
  readonly reserved: number;
  /** Running requests that were sent to this server, the first of their chain if they have one. */
  readonly running: number;
}

export type ServerLoads = ReadonlyMap<string, ServerLoad>;

/** Load of the requests of one VM or of several VMs. */
export interface GatewayWork {
  readonly servers: ServerLoads;
  /** Tokens per millisecond on links between failure domains, counted once for each cross-domain hop. */
  readonly crossingPerMs: number;
}
