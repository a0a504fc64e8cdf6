import { parseGatewaySettings } from './gatewaySettings';

const valid = `
[vm]
name = "front-1"
failure_domain = "a"
region = "r"
cores = 0.675
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
directory = "10.0.0.1:82"
peers = "10.0.0.1:83"
tables = "10.0.0.1:85"
metrics = "10.0.0.1:84"
[store]
address = "10.0.0.9:90"
[drain]
grace_s = 8.5
[servers]
drain_ms = 2000
[credentials]
revoke_ms = 5000
[retries]
ratio = 0.2
extra = 196
window_s = 10
[directory]
max_validity_s = 5
`;

describe('parseGatewaySettings', () => {
  it('reads a complete file', () => {
    expect(parseGatewaySettings(valid)).toMatchObject({
      vm: { name: 'front-1', failure_domain: 'a' },
      drain: { grace_s: 8.5 },
    });
  });

  it('names every invalid field at once', () => {
    const wrong = valid
      .replace('"10.0.0.9:90"', '"store"')
      .replace('revoke_ms = 5000', '')
      .replace('window_s = 10', 'window_s = 0');
    expect(() => parseGatewaySettings(wrong)).toThrow(
      /store\.address.*credentials\.revoke_ms.*retries\.window_s/,
    );
  });

  it.each([
    ['as numbers', '250', '4100', 250, 4100],
    ['as texts', '"250"', '"4100"', 250, 4100],
    // A template that is rendered without the values leaves empty texts.
    ['empty', '""', '""', undefined, undefined],
  ])('reads the size of the VM %s', (_, memory, descriptors, memoryMb, maxDescriptors) => {
    const sized = valid.replace(
      'cores = 0.675',
      `cores = 0.675\nmemory_mb = ${memory}\nmax_descriptors = ${descriptors}`,
    );
    const { vm } = parseGatewaySettings(sized);
    expect([vm.memory_mb, vm.max_descriptors]).toEqual([memoryMb, maxDescriptors]);
  });

  it.each(['0', '-1', '"many"'])('rejects a size of %s, and names it', (value) => {
    const wrong = valid.replace('cores = 0.675', `cores = 0.675\nmemory_mb = ${value}`);
    expect(() => parseGatewaySettings(wrong)).toThrow(/vm\.memory_mb/);
  });
});
