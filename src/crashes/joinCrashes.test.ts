import { joinCrashes } from './joinCrashes';

describe('joinCrashes', () => {
  it('counts a crash that both VMs saw once', () => {
    const one = { servers: ['a', 'b'], crashes: 2 };
    const other = { servers: ['b', 'c'], crashes: 2 };
    expect(joinCrashes(one, other)).toEqual({ servers: ['a', 'b', 'c'], crashes: 3 });
  });

  it('keeps crashes whose servers are not known', () => {
    expect(joinCrashes(undefined, { crashes: 2 })).toEqual({ servers: [], crashes: 2 });
  });
});
