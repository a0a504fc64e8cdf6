/** Whether an unusual silence of a stream is reason enough for this VM to ask the engines of its chain. */

import { isEarlyProber } from '../../evidence/isEarlyProber';
import type { GatewayHost } from '../../gateway/job';

/** @param server first engine of the chain */
export function mayProbeEarly(
  { silenceAlarms, vm, vms }: Pick<GatewayHost, 'silenceAlarms' | 'vm' | 'vms'>,
  server: string,
): boolean {
  return silenceAlarms.areTelling() || isEarlyProber({ vm, server, vms: vms() });
}
