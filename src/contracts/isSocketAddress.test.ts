import { isSocketAddress } from './isSocketAddress';

describe('isSocketAddress', () => {
  it.each(['10.128.0.9:8080', '127.0.0.1:1', '255.255.255.255:65535'])('accepts %s', (text) => {
    expect(isSocketAddress(text)).toBe(true);
  });

  it.each([
    '',
    '10.128.0.9',
    '10.128.0.9:',
    '10.128.0.9:0',
    '10.128.0.9:65536',
    '10.128.0.9:080800',
    '10.128.0.256:80',
    '10.128.0.09:80',
    '0.0.0.0:80',
    '[::1]:80',
    'engine:80',
    '10.128.0.9:80\n',
  ])('rejects %j', (text) => {
    expect(isSocketAddress(text)).toBe(false);
  });
});
