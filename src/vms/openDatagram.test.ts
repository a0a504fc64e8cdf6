import { OrderedMap } from 'immutable';
import type { OpenedDatagram, ReplayWindow, ReplayWindows } from './datagram';
import { MAX_DATAGRAM_BYTES, REPLAY_WINDOW } from './datagram';
import { openDatagram } from './openDatagram';
import { sealDatagram } from './sealDatagram';

const oldKey = Buffer.from('old key of the fleet, 32 bytes..');
const newKey = Buffer.from('new key of the fleet, 32 bytes..');
const payload = Buffer.from('body');
const none: ReplayWindows = OrderedMap<string, ReplayWindow>();

function seal(
  sequence: number,
  changes: { key?: Uint8Array; fleet?: string; incarnation?: number } = {},
) {
  const options = { fleet: 'derwent', key: oldKey, sender: 'vm-1', incarnation: 5, ...changes };
  const sealed = sealDatagram(payload, { ...options, sequence });
  if (sealed.type !== 'sealed') throw new Error('Too large');
  return sealed.bytes;
}

function open(bytes: Uint8Array, windows = none, keys: readonly Uint8Array[] = [oldKey]) {
  return openDatagram(bytes, { fleet: 'derwent', keys, windows });
}

function windowsOf(opened: OpenedDatagram): ReplayWindows {
  if (opened.type !== 'opened') throw new Error(`Dropped as ${opened.reason}`);
  return opened.windows;
}

describe('openDatagram', () => {
  it('returns the payload and the sender', () => {
    expect(open(seal(1))).toMatchObject({
      type: 'opened',
      envelope: { sender: 'vm-1', incarnation: 5, sequence: 1 },
      payload,
    });
  });

  it('accepts the current and the previous key, and no other', () => {
    const bytes = seal(1, { key: newKey });
    expect(open(bytes, none, [newKey, oldKey]).type).toBe('opened');
    expect(open(seal(1), none, [newKey, oldKey]).type).toBe('opened');
    expect(open(bytes)).toEqual({ type: 'dropped', reason: 'unauthenticated' });
  });

  it('drops a datagram with any byte changed', () => {
    const bytes = seal(1);
    for (let index = 0; index < bytes.length; index += 1) {
      const changed = Buffer.from(bytes);
      changed[index] = (changed[index] ?? 0) ^ 1;
      expect(open(changed).type).toBe('dropped');
    }
  });

  it('drops foreign, oversized and truncated datagrams, and those of another version', () => {
    const other = Buffer.from(seal(1));
    other[0] = 2;
    expect(open(seal(1, { fleet: 'kiambu' }))).toEqual({
      type: 'dropped',
      reason: 'foreign-fleet',
    });
    expect(open(Buffer.alloc(MAX_DATAGRAM_BYTES + 1))).toEqual({
      type: 'dropped',
      reason: 'oversized',
    });
    expect(open(seal(1).subarray(0, 20))).toEqual({ type: 'dropped', reason: 'malformed' });
    expect(open(other)).toEqual({ type: 'dropped', reason: 'other-version' });
  });

  it('opens each datagram once, out of order within the window, of the newest incarnation only', () => {
    const replayed = { type: 'dropped', reason: 'replayed' };
    const afterTen = windowsOf(open(seal(10)));
    const afterEight = windowsOf(open(seal(8), afterTen));
    expect(open(seal(10), afterEight)).toEqual(replayed);
    expect(open(seal(8), afterEight)).toEqual(replayed);
    expect(open(seal(9), afterEight).type).toBe('opened');
    const later = windowsOf(open(seal(REPLAY_WINDOW + 9), afterEight));
    expect(open(seal(9), later)).toEqual(replayed);
    expect(open(seal(10), later)).toEqual(replayed);
    expect(open(seal(11), later).type).toBe('opened');
    const farLater = windowsOf(open(seal(3 * REPLAY_WINDOW), later));
    expect(open(seal(2 * REPLAY_WINDOW), farLater)).toEqual(replayed);
    const restarted = windowsOf(open(seal(1, { incarnation: 6 }), farLater));
    expect(open(seal(4 * REPLAY_WINDOW), restarted)).toEqual(replayed);
  });

  it('refuses to seal a payload that is too large', () => {
    const sealed = sealDatagram(Buffer.alloc(MAX_DATAGRAM_BYTES), {
      fleet: 'derwent',
      key: oldKey,
      sender: 'vm-1',
      incarnation: 5,
      sequence: 1,
    });
    expect(sealed.type).toBe('oversized');
  });
});
