/** The seam between the gateway and the platform that it runs on. */

import type { Catalog } from '../catalog/catalog';
import type { ListedServer } from '../chains/layerEngine';
import type { StoreRow, WatchedStore } from '../contracts/watchedStore';
import type { BackendProtocol } from '../gateway/backendProtocol';

/** What an adapter supplies: the store, the backend servers' language, and their tables' contents. */
export interface GatewayPlatform {
  readonly store: WatchedStore;
  readonly protocol: BackendProtocol;
  readonly catalogTable: string;
  readonly serverTable: string;
  readonly ownTable: string;
  /** @returns undefined where the rows hold no catalog */
  readonly decodeCatalog: (rows: ReadonlyMap<string, StoreRow>) => Catalog | undefined;
  /** @returns undefined where the row names no backend server */
  readonly decodeServer: (row: StoreRow) => ListedServer | undefined;
  readonly isReadinessPath: (path: string) => boolean;
  /** @returns the caller's failure domain, undefined where the path asks for no addresses */
  readonly readAddressQuery: (path: string) => { readonly failureDomain?: string } | undefined;
  readonly encodeAddresses: (addresses: readonly string[], validMs: number) => string;
}
