/** What requests take of the backend servers, as VMs tell each other. */

/** Work of one VM on one backend server. */
export interface ServerLoad {
  /** Tokens times layers that running requests are expected to take. */
  readonly reserved: number;
  /** Requests that were sent there and are not over. */
  readonly running: number;
}

export type ServerLoads = ReadonlyMap<string, ServerLoad>;

/** What one VM's requests, or those of several, take. */
export interface GatewayWork {
  readonly servers: ServerLoads;
  /** Tokens a millisecond that begin to cross between failure domains, each link counted. */
  readonly crossingPerMs: number;
}
