import { encode } from '@msgpack/msgpack';
import { decodeHeartbeat, encodeHeartbeat } from './heartbeatCodec';

describe('decodeHeartbeat', () => {
  it('decodes an encoded heartbeat', () => {
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
    expect(decodeHeartbeat(encodeHeartbeat(heartbeat))).toEqual(heartbeat);
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
