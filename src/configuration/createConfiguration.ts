/** The empty configuration, which every VM starts from. */

import type { Configuration } from './configuration';

/** @returns revision 0, with no objects */
export function createConfiguration(): Configuration {
  return {
    revision: 0,
    failureDomain: new Map(),
    link: new Map(),
    acceleratorKind: new Map(),
    model: new Map(),
    backendServer: new Map(),
    engine: new Map(),
    workspace: new Map(),
    service: new Map(),
  };
}
