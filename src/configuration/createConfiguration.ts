/** Creates the empty configuration, from which every VM starts. */

import type { Configuration } from './configuration';

/** @returns revision 0 without objects */
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
