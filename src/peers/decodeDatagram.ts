/** Decodes the content of a datagram between VMs. */

import { decode } from '@msgpack/msgpack';
import { holdsAnnouncedItems } from './holdsAnnouncedItems';

/** @returns undefined if it does not decode: anyone can send to the port */
export function decodeDatagram(datagram: Uint8Array): unknown {
  if (!holdsAnnouncedItems(datagram)) return undefined;
  try {
    return decode(datagram);
  } catch {
    return undefined;
  }
}
