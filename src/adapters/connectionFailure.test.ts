import { connectionFailure } from './connectionFailure';

const failure = (fields: object) => Object.assign(new Error('broke'), fields);

describe('connectionFailure', () => {
  it.each([
    ['unreachable', { code: 'ECONNREFUSED', syscall: 'connect' }],
    ['unreachable', { code: 'EHOSTUNREACH', syscall: 'connect' }],
    ['unreachable', { code: 'UND_ERR_CONNECT_TIMEOUT' }],
    ['reset', { code: 'EHOSTUNREACH', syscall: 'read' }],
    ['reset', { code: 'ECONNRESET', syscall: 'write' }],
    ['reset', { code: 'UND_ERR_SOCKET' }],
    ['timeout', { code: 'UND_ERR_HEADERS_TIMEOUT' }],
    ['timeout', { name: 'TimeoutError', code: 23 }],
  ])('says %s for %j', (expected, fields) => {
    expect(connectionFailure(failure(fields))).toBe(expected);
  });

  it('takes what is no error for a reset', () => {
    expect(connectionFailure(undefined)).toBe('reset');
  });
});
