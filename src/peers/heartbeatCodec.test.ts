import { encode } from '@msgpack/msgpack';
import { decodeHeartbeat, encodeHeartbeat } from './heartbeatCodec';

const heartbeat = {
  vm: 'front-1',
  incarnation: 'c0ffee',
  isAccepting: true,
  work: {
    servers: new Map([['engine-1', { reserved: 4_200, running: 3 }]]),
    crossingPerMs: 0.5,
  },
  lost: [{ id: 'engine-2', bornMs: 1_700_000_000_000 }],
  domains: [
    {
      failureDomain: 'a',
      members: [{ vm: 'front-2', incarnation: 'f00', isAccepting: false, heardAgoMs: 120 }],
      work: {
        servers: new Map([['engine-3', { reserved: 9, running: 1 }]]),
        crossingPerMs: 2,
      },
    },
  ],
};

/** The same heartbeat as version f63a78b encodes it, hexadecimal. */
const PRODUCTION_DATAGRAM =
  '9702a766726f6e742d31a6633066666565c3929193a8656e67696e652d31cd106803cb3fe0000000' +
  '0000009192a8656e67696e652d32cf0000018bcfe568009193a1619194a766726f6e742d32a36630' +
  '30c278929193a8656e67696e652d33090102';

describe('decodeHeartbeat', () => {
  it('decodes an encoded heartbeat', () => {
    expect(decodeHeartbeat(encodeHeartbeat(heartbeat))).toEqual(heartbeat);
  });

  it('reads and writes what the version in production does', () => {
    expect(decodeHeartbeat(Buffer.from(PRODUCTION_DATAGRAM, 'hex'))).toEqual(heartbeat);
    expect(Buffer.from(encodeHeartbeat(heartbeat)).toString('hex')).toBe(PRODUCTION_DATAGRAM);
  });

  // Loads of peers are added up, so one that is no number left no server with a known load.
  it.each([NaN, Infinity, -Infinity])('rejects heartbeats with the number %d', (odd) => {
    const encoded = [
      [2, 'vm', 'i', true, [[['e', odd, 1]], 0], [], []],
      [2, 'vm', 'i', true, [[['e', 1, odd]], 0], [], []],
      [2, 'vm', 'i', true, [[], odd], [], []],
      [2, 'vm', 'i', true, [[], 0], [['e', odd]], []],
      [2, 'vm', 'i', true, [[], 0], [], [['a', [['v', 'f', true, odd]], [[], 0]]]],
    ];
    expect(encoded.map((items) => decodeHeartbeat(encode(items)))).toEqual(
      Array(encoded.length).fill(undefined),
    );
  });

  it('takes a VM as heard just now that says it is heard in a time to come', () => {
    const items = [2, 'vm', 'i', true, [[], 0], [], [['a', [['v', 'f', true, -1e12]], [[], 0]]]];
    expect(decodeHeartbeat(encode(items))?.domains[0]?.members[0]?.heardAgoMs).toBe(0);
  });

  it('rejects heartbeats with an item of another type at any position', () => {
    const sound = [
      2,
      'vm',
      'c0ffee',
      true,
      [[['e', 1, 1]], 0],
      [['e', 5]],
      [['a', [['v', 'f', true, 1]], [[], 0]]],
    ];
    expect(decodeHeartbeat(encode(sound))?.vm).toBe('vm');
    const broken: readonly (readonly [number, unknown])[] = [
      [0, 3],
      [1, 7],
      [2, null],
      [3, 'true'],
      [4, [[['e', 1]], 0]],
      [4, [[['e', '1', 1]], 0]],
      [4, [[], 'none']],
      [5, [['e', 'soon']]],
      [5, 'none'],
      [6, [['a', [['v', 'f', 1, 1]], [[], 0]]]],
      [6, [['a', [], [[['e', 1, true]], 0]]]],
      [6, [[7, [], [[], 0]]]],
      [6, {}],
    ];
    for (const [position, item] of broken) {
      expect(decodeHeartbeat(encode(sound.with(position, item as string)))).toBeUndefined();
    }
    expect(decodeHeartbeat(encode([...sound, 1]))).toBeUndefined();
  });

  it('rejects datagrams that are not heartbeats', () => {
    expect(decodeHeartbeat(Buffer.from([0xc1]))).toBeUndefined();
    expect(decodeHeartbeat(Buffer.from([0x93, 1, 2, 3]))).toBeUndefined();
  });
});
