import { parseSettings } from './parseSettings';

const KEY = 'k'.repeat(32);
const VALID = `
[vm]
id = "vm-1"
region = "nairobi"
failure_domain = "a"

[listen]
http = "127.0.0.1:0"
peer = "127.0.0.1:0"
gossip = "[::1]:7000"

[platform]
table = "http://127.0.0.1:9001"
membership = "http://127.0.0.1:9003"

[fleet]
seeds = ["127.0.0.1:7001"]
key = { env = "FLEET_KEY" }

[[operators]]
name = "amina"
role = "confirm"
token_hash = "${'0f'.repeat(32)}"
`;

const parse = (source: string, environment = { FLEET_KEY: KEY }) =>
  parseSettings(source, { file: 'vm.toml', environment });

describe('parseSettings', () => {
  it('reads a valid file and fills in defaults', () => {
    expect(parse(VALID)).toMatchObject({
      type: 'valid',
      settings: {
        vm: { id: 'vm-1', failureDomain: 'a' },
        listen: { gossip: { host: '::1', port: 7000 } },
        seeds: [{ host: '127.0.0.1', port: 7001 }],
        keys: { current: KEY },
        operators: [{ name: 'amina', role: 'confirm' }],
        limits: { bodyBytes: 1_048_576 },
      },
    });
  });

  it('reports an unknown key, a wrong type and a value out of range at once', () => {
    const source = VALID.replace('region =', 'regoin =')
      .replace('seeds = ["127.0.0.1:7001"]', 'seeds = 7')
      .concat('[limits]\nbody_bytes = 12\n');
    const result = parse(source);
    if (result.type === 'valid') throw new Error('The settings passed');
    expect(result.errors).toEqual([
      {
        file: 'vm.toml',
        key: 'vm.region',
        message: 'accepted is a name',
      },
      {
        file: 'vm.toml',
        key: 'vm.regoin',
        message: 'unknown key; accepted are id, region, failure_domain',
      },
      {
        file: 'vm.toml',
        key: 'fleet.seeds',
        message: 'accepted is a list of "IP:port"',
      },
      {
        file: 'vm.toml',
        key: 'limits.body_bytes',
        message: 'accepted is a whole number from 1024 to 67108864',
      },
    ]);
  });

  it('reports where a secret is too short without showing it', () => {
    const result = parse(VALID, { FLEET_KEY: 'too-short' });
    expect(result).toEqual({
      type: 'invalid',
      errors: [
        {
          file: 'vm.toml',
          key: 'fleet.key',
          message: 'environment variable FLEET_KEY: accepted are at least 32 bytes',
        },
      ],
    });
  });

  it('reports text that is not TOML', () => {
    expect(parse('[vm\n')).toMatchObject({ type: 'invalid', errors: [{ key: '(whole file)' }] });
  });

  it.each(['300.1.1', '127.0.0.1', '127.0.0.1:70000', 'host:1'])(
    'refuses address %s',
    (address) => {
      const result = parse(VALID.replace('[::1]:7000', address));
      expect(result).toMatchObject({ type: 'invalid', errors: [{ key: 'listen.gossip' }] });
    },
  );
});
