/** Carries datagrams as the daemon does, encoded and sealed, and accounts for bytes and time. */

import { decode, encode } from '@msgpack/msgpack';
import { openDatagram } from '../src/vms/openDatagram';
import { sealDatagram } from '../src/vms/sealDatagram';
import type { VirtualVm } from './virtualVm';

const FLEET = 'measured';
const KEY = Buffer.alloc(32, 7);

/** Bytes of the UDP and IP headers. */
const HEADERS_BYTES = 28;

/** Encodes and seals a body at its sender. */
export function packDatagram(sender: VirtualVm, body: unknown): Uint8Array {
  const before = process.hrtime.bigint();
  sender.sequence += 1;
  const { id, incarnation } = sender.vm;
  const options = { fleet: FLEET, key: KEY, sender: id, incarnation, sequence: sender.sequence };
  const sealed = sealDatagram(encode(body), options);
  sender.cpuNanos += process.hrtime.bigint() - before;
  if (sealed.type === 'oversized') throw new RangeError(`A datagram of ${sealed.size} bytes`);
  sender.sentBytes += sealed.bytes.length + HEADERS_BYTES;
  sender.largestBytes = Math.max(sender.largestBytes, sealed.bytes.length);
  return sealed.bytes;
}

/** Opens and decodes a datagram at its receiver. */
export function unpackDatagram(receiver: VirtualVm, bytes: Uint8Array): unknown {
  const before = process.hrtime.bigint();
  const opened = openDatagram(bytes, { fleet: FLEET, keys: [KEY], windows: receiver.windows });
  if (opened.type === 'dropped') throw new RangeError(`Dropped as ${opened.reason}`);
  receiver.windows = opened.windows;
  const body = decode(opened.payload);
  receiver.cpuNanos += process.hrtime.bigint() - before;
  receiver.receivedBytes += bytes.length + HEADERS_BYTES;
  return body;
}
