import type { MethodContract } from '../contracts/methodContract';
import { findContract } from './findContract';

function create(method: string, path: string): MethodContract {
  const promises = { isIdempotent: false, honoursIdempotencyKey: false };
  return { method, path, ...promises, timeoutMs: 1, maxBodyBytes: 1 };
}

const contracts = ['/*', '/jobs/*', '/jobs/7'].map((path) => create('GET', path));

describe('findContract', () => {
  it.each([
    ['GET', '/jobs/7', '/jobs/7'],
    ['GET', '/jobs/7?full=1', '/jobs/7'],
    ['GET', '/jobs/8', '/jobs/*'],
    ['GET', '/other', '/*'],
    ['POST', '/jobs/7', undefined],
  ])('covers %s %s by %s', (method, path, expected) => {
    expect(findContract(contracts, method, path)?.path).toBe(expected);
  });
});
