/** Checks addresses before they are connected to: an invalid one throws there, and a name would be looked up. */

import { isIPv4 } from 'node:net';

const ADDRESS = /^([\d.]+):(\d{1,5})$/;

const MAX_PORT = 65_535;

/** The network of unspecified addresses. */
const UNSPECIFIED = '0.';

/** @returns whether the text is an IPv4 address and a port that can be connected to */
export function isSocketAddress(text: string): boolean {
  const [, host = '', port = ''] = ADDRESS.exec(text) ?? [];
  const number = Number(port);
  return isIPv4(host) && !host.startsWith(UNSPECIFIED) && number > 0 && number <= MAX_PORT;
}
