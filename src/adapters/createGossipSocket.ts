/** UDP socket for gossip between VMs: authenticated datagrams with msgpack bodies. */

import { createSocket } from 'node:dgram';
import { decode, encode } from '@msgpack/msgpack';
import { OrderedMap } from 'immutable';
import type { DropReason, ReplayWindows } from '../vms/datagram';
import { openDatagram } from '../vms/openDatagram';
import { sealDatagram } from '../vms/sealDatagram';
import type { Address, Incarnation, VmId } from '../vms/vm';

export interface GossipSocketOptions {
  readonly listen: Address;
  readonly sender: VmId;
  readonly incarnation: Incarnation;
  /** Name of the fleet; separates fleets that share a key. */
  readonly fleet: string;
  /** The first key authenticates sent datagrams; every key is accepted for received ones. */
  readonly keys: readonly Uint8Array[];
  /** Called for each received datagram that passes authentication. */
  readonly onDatagram: (from: Address, body: unknown) => void;
  /** Called with the reason when a sent or received datagram is dropped. */
  readonly onDropped: (reason: DropReason | 'undecodable' | 'unsent') => void;
}

export interface GossipSocket {
  readonly address: Address;
  readonly send: (to: Address, body: unknown) => void;
  readonly close: () => void;
}

/**
 * Creates and binds the socket.
 *
 * @param options the address, the sender's identity, the keys and the listeners
 */
export async function createGossipSocket(options: GossipSocketOptions): Promise<GossipSocket> {
  const { listen, sender, incarnation, fleet, keys, onDatagram, onDropped } = options;
  const [key] = keys;
  if (key === undefined) throw new RangeError('At least one fleet key is needed');
  let windows: ReplayWindows = OrderedMap();
  let sequence = 0;
  const socket = createSocket(listen.host.includes(':') ? 'udp6' : 'udp4');
  socket.on('message', (message, from) => {
    const opened = openDatagram(message, { fleet, keys, windows });
    if (opened.type === 'dropped') {
      onDropped(opened.reason);
      return;
    }
    ({ windows } = opened);
    const body = tryDecode(opened.payload);
    if (body === undefined) onDropped('undecodable');
    else onDatagram({ host: from.address, port: from.port }, body);
  });
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(listen.port, listen.host, () => {
      socket.off('error', reject);
      resolve();
    });
  });
  socket.on('error', () => {
    onDropped('unsent');
  });
  let isOpen = true;
  return {
    address: { host: listen.host, port: socket.address().port },
    send: (to, body) => {
      if (!isOpen) return;
      sequence += 1;
      const payload = encode(body, { ignoreUndefined: true });
      const sealed = sealDatagram(payload, { sender, incarnation, sequence, fleet, key });
      if (sealed.type === 'oversized') {
        onDropped('oversized');
        return;
      }
      socket.send(sealed.bytes, to.port, to.host, (error) => {
        if (error !== null) onDropped('unsent');
      });
    },
    close: () => {
      if (isOpen) socket.close();
      isOpen = false;
    },
  };
}

function tryDecode(bytes: Uint8Array): unknown {
  try {
    return decode(bytes);
  } catch {
    return undefined;
  }
}
