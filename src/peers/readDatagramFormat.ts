/**
 * Reads the name of a datagram's format without decoding the rest: a VM of a large fleet gets hundreds a second, and each
 * is for one reader only.
 */

/** MessagePack: an array of at most 15 items, and a text of at most 31 bytes. */
const ARRAY_MASK = 0xf0;
const ARRAY = 0x90;
const TEXT_MASK = 0xe0;
const TEXT = 0xa0;

const HEAD_BYTES = 2;

/** @returns undefined if the datagram is no array that begins with a text, as heartbeats do not */
export function readDatagramFormat(datagram: Uint8Array): string | undefined {
  const [array = 0, text = 0] = datagram;
  if ((array & ARRAY_MASK) !== ARRAY || (text & TEXT_MASK) !== TEXT) return undefined;
  const end = HEAD_BYTES + (text & ~TEXT_MASK);
  return Buffer.from(datagram.subarray(HEAD_BYTES, end)).toString('latin1');
}
