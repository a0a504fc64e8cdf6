import type { MethodContract } from '../contracts/methodContract';
import { findContract } from './findContract';

function createContract(method: string, path: string): MethodContract {
  const promises = { isIdempotent: false, honoursIdempotencyKey: false };
  return { method, path, ...promises, timeoutMs: 1, maxBodyBytes: 1 };
}

const contracts = ['/*', '/jobs/*', '/jobs/7'].map((path) => createContract('GET', path));

describe('findContract', () => {
  it.each([
    ['GET', '/jobs/7', '/jobs/7'],
    ['GET', '/jobs/7?full=1', '/jobs/7'],
    ['GET', '/jobs/8', '/jobs/*'],
    ['GET', '/other', '/*'],
    ['POST', '/jobs/7', undefined],
  ])('finds for %s %s the contract of %s', (method, path, expected) => {
    expect(findContract(contracts, method, path)?.path).toBe(expected);
  });
});
