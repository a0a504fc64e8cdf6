/** Formats the URL origin of an address. */

import type { Address } from '../vms/vm';

/**
 * Returns `http://host:port`, with brackets around an IPv6 address.
 *
 * @param address the IP address and port
 */
export function formatOrigin({ host, port }: Address): string {
  return host.includes(':') ? `http://[${host}]:${port}` : `http://${host}:${port}`;
}
