/**
 * A stand-in for the platform's membership list. `POST /v1/vms` is the platform's own word of which
 * VMs there are; readers see it `lagMs` later.
 */

import { withFaults } from '../http/faults';
import { startServer, type Handler, type Server } from '../http/startServer';

export interface MembershipOptions {
  readonly host?: string;
  readonly port?: number;
  /** How late readers see a change, milliseconds. */
  readonly lagMs?: number;
}

/**
 * Starts an empty membership list.
 *
 * @param options where to listen, and how late it is
 */
export function startMembership({
  lagMs = 0,
  ...options
}: MembershipOptions = {}): Promise<Server> {
  let seen: unknown[] = [];
  const handler: Handler = ({ method, path, body }) => {
    if (path !== '/v1/vms') return { status: 404 };
    if (method === 'POST') {
      const { vms } = JSON.parse(body.toString()) as { readonly vms: unknown[] };
      setTimeout(() => {
        seen = vms;
      }, lagMs).unref();
      return { status: 200, body: {} };
    }
    return { status: 200, body: { vms: seen } };
  };
  return startServer({ ...options, handler: withFaults(handler) });
}
