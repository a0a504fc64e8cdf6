/** The URL origin of an address. */

import type { Address } from '../vms/vm';

/**
 * Gives `http://host:port`, with brackets around an IPv6 number.
 *
 * @param address an IP number and port
 */
export function origin({ host, port }: Address): string {
  return host.includes(':') ? `http://[${host}]:${port}` : `http://${host}:${port}`;
}
