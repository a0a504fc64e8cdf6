/** Finds the service and the method contract of a call in the configuration. */

import { findContract } from '../backendServers/findContract';
import type { Configuration } from '../configuration/configuration';
import type { MethodContract } from '../contracts/methodContract';
import type { Refusal } from '../outcomes/outcome';
import type { PlainService } from '../services/service';
import { RETRY_AFTER_MS } from './operationLimits';
import type { PlainCall } from './operationMessage';

/** The service and contract of a call, or the refusal if there is none. */
export type FoundMethod =
  | { readonly type: 'found'; readonly service: PlainService; readonly contract: MethodContract }
  | { readonly type: 'missing'; readonly refusal: Refusal };

/** Looks up the service, method and path of the call. */
export function findMethod(configuration: Configuration, call: PlainCall): FoundMethod {
  if (configuration.revision === 0) return { type: 'missing', refusal: noConfiguration };
  const service = configuration.service.get(`${call.workspace}/${call.service}`);
  if (service?.kind !== 'plain') {
    return missing('service-unknown', `The workspace has no plain service ${call.service}`);
  }
  const contract = findContract(service.contracts, call.method, call.path);
  if (contract === undefined) {
    return missing('method-unknown', `No contract covers ${call.method} ${call.path}`);
  }
  return { type: 'found', service, contract };
}

const noConfiguration: Refusal = {
  outcome: 'not-run',
  reason: 'no-configuration',
  detail: 'This VM has just started and has no configuration yet',
  retryAfterMs: RETRY_AFTER_MS,
};

/** Suggests a retry, since a VM that is a revision behind may know the service a moment later. */
function missing(reason: string, detail: string): FoundMethod {
  const retryAfterMs = RETRY_AFTER_MS;
  return { type: 'missing', refusal: { outcome: 'not-run', reason, detail, retryAfterMs } };
}
