/**
 * Checks that a datagram can hold the items that it announces. The decoder reserves memory for as many items as an array
 * announces before it reads them, and arrays may be nested, so that a few bytes could take the memory of the process.
 */

/** Bytes of a length or a value after the first byte, and what a length counts. */
interface Head {
  readonly bytes: number;
  readonly counts?: 'bytes' | 'items' | 'pairs';
}

/** MessagePack items that are told by their whole first byte. */
const HEADS: ReadonlyMap<number, Head> = new Map<number, Head>([
  [0xc4, { bytes: 1, counts: 'bytes' }],
  [0xc5, { bytes: 2, counts: 'bytes' }],
  [0xc6, { bytes: 4, counts: 'bytes' }],
  [0xca, { bytes: 4 }],
  [0xcb, { bytes: 8 }],
  [0xcc, { bytes: 1 }],
  [0xcd, { bytes: 2 }],
  [0xce, { bytes: 4 }],
  [0xcf, { bytes: 8 }],
  [0xd0, { bytes: 1 }],
  [0xd1, { bytes: 2 }],
  [0xd2, { bytes: 4 }],
  [0xd3, { bytes: 8 }],
  [0xd9, { bytes: 1, counts: 'bytes' }],
  [0xda, { bytes: 2, counts: 'bytes' }],
  [0xdb, { bytes: 4, counts: 'bytes' }],
  [0xdc, { bytes: 2, counts: 'items' }],
  [0xdd, { bytes: 4, counts: 'items' }],
  [0xde, { bytes: 2, counts: 'pairs' }],
  [0xdf, { bytes: 4, counts: 'pairs' }],
]);

const NIL = 0xc0;
const FALSE = 0xc2;
const TRUE = 0xc3;

interface Item {
  readonly bytes: number;
  readonly items: number;
}

/** @returns false also for items that no format uses, such as extensions */
export function holdsAnnouncedItems(datagram: Uint8Array): boolean {
  const view = new DataView(datagram.buffer, datagram.byteOffset, datagram.byteLength);
  let offset = 0;
  let expected = 1;
  while (expected > 0) {
    // Each item has a byte at least.
    if (expected > view.byteLength - offset) return false;
    const item = readItem(view, offset);
    if (item === undefined) return false;
    offset += item.bytes;
    expected += item.items - 1;
  }
  return offset <= view.byteLength;
}

/** Bytes of the item itself, and the items in it. */
function readItem(view: DataView, offset: number): Item | undefined {
  const first = view.getUint8(offset);
  if (first <= 0x7f || first >= 0xe0) return { bytes: 1, items: 0 };
  if (first <= 0x8f) return { bytes: 1, items: 2 * (first & 0x0f) };
  if (first <= 0x9f) return { bytes: 1, items: first & 0x0f };
  if (first <= 0xbf) return { bytes: 1 + (first & 0x1f), items: 0 };
  if (first === NIL || first === FALSE || first === TRUE) return { bytes: 1, items: 0 };
  const head = HEADS.get(first);
  if (head === undefined || offset + 1 + head.bytes > view.byteLength) return undefined;
  const bytes = 1 + head.bytes;
  if (head.counts === undefined) return { bytes, items: 0 };
  const length = readLength(view, offset + 1, head.bytes);
  if (head.counts === 'bytes') return { bytes: bytes + length, items: 0 };
  return { bytes, items: head.counts === 'pairs' ? 2 * length : length };
}

function readLength(view: DataView, offset: number, bytes: number): number {
  if (bytes === 1) return view.getUint8(offset);
  return bytes === 2 ? view.getUint16(offset) : view.getUint32(offset);
}
