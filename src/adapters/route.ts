/** A route of the HTTP server. */

import type { ExchangeHandler } from './exchange';

export interface Route {
  /** Upper-case HTTP method, or `*` for any. */
  readonly method: string;
  readonly path: RegExp;
  readonly handle: ExchangeHandler;
}
