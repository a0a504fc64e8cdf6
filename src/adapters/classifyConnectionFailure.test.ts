import { classifyConnectionFailure } from './classifyConnectionFailure';

const failure = (fields: object) => Object.assign(new Error('broke'), fields);

describe('classifyConnectionFailure', () => {
  it.each([
    ['unreachable', { code: 'ECONNREFUSED', syscall: 'connect' }],
    ['unreachable', { code: 'EHOSTUNREACH', syscall: 'connect' }],
    ['unreachable', { code: 'UND_ERR_CONNECT_TIMEOUT' }],
    ['reset', { code: 'EHOSTUNREACH', syscall: 'read' }],
    ['reset', { code: 'ECONNRESET', syscall: 'write' }],
    ['reset', { code: 'UND_ERR_SOCKET' }],
    ['timeout', { code: 'UND_ERR_HEADERS_TIMEOUT' }],
    ['timeout', { name: 'TimeoutError', code: 23 }],
  ])('returns %s for %j', (expected, fields) => {
    expect(classifyConnectionFailure(failure(fields))).toBe(expected);
  });

  it('returns reset for a value that is not an error', () => {
    expect(classifyConnectionFailure(undefined)).toBe('reset');
  });
});
