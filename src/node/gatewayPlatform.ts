/** The interface between the gateway and the platform on which it runs. */

import type { Catalog } from '../catalog/catalog';
import type { ListedServer } from '../chains/layerEngine';
import type { StoreRow, WatchedStore } from '../contracts/watchedStore';
import type { BackendProtocol } from '../gateway/backendProtocol';
import type { ReplyMemory } from '../replies/createReplyMemory';

/** Provided by an adapter: the store, the protocol of the backend servers, and decoders of the tables. */
export interface GatewayPlatform {
  readonly store: WatchedStore;
  readonly protocol: BackendProtocol;
  /** Memory of all replies, which the store and the protocol share with the gateway. */
  readonly replyMemory: ReplyMemory;
  readonly catalogTable: string;
  readonly serverTable: string;
  readonly ownTable: string;
  /** @returns undefined if the rows contain no catalog */
  readonly decodeCatalog: (rows: ReadonlyMap<string, StoreRow>) => Catalog | undefined;
  /** @returns undefined if the row does not describe a backend server */
  readonly decodeServer: (row: StoreRow) => ListedServer | undefined;
  readonly isReadinessPath: (path: string) => boolean;
  /** @returns the caller's failure domain, or undefined if the path is not an address query */
  readonly readAddressQuery: (path: string) => { readonly failureDomain?: string } | undefined;
  readonly encodeAddresses: (addresses: readonly string[], validMs: number) => string;
}
