/**
 * A stand-in for the platform's membership list. `POST /v1/vms` replaces the list of VMs; readers see
 * the change `lagMs` later.
 */

import { withFaults } from '../http/faults';
import { startServer, type Handler, type Server } from '../http/startServer';

export interface MembershipOptions {
  readonly host?: string;
  readonly port?: number;
  /** Delay before readers see a change, milliseconds. */
  readonly lagMs?: number;
}

/**
 * Starts an empty membership list.
 *
 * @param options the listen address and the lag
 */
export function startMembership({
  lagMs = 0,
  ...options
}: MembershipOptions = {}): Promise<Server> {
  let visible: unknown[] = [];
  const handler: Handler = ({ method, path, body }) => {
    if (path !== '/v1/vms') return { status: 404 };
    if (method === 'POST') {
      const { vms } = JSON.parse(body.toString()) as { readonly vms: unknown[] };
      setTimeout(() => {
        visible = vms;
      }, lagMs).unref();
      return { status: 200, body: {} };
    }
    return { status: 200, body: { vms: visible } };
  };
  return startServer({ ...options, handler: withFaults(handler) });
}
