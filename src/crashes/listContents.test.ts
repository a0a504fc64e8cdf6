import { crashLimitOf } from './crashLimitOf';
import { listContents } from './listContents';

describe('listContents', () => {
  it('lists the request and each part once', () => {
    expect(listContents({ request: 'f', service: 's', sharedParts: ['a', 'b', 'a'] })).toEqual([
      'request:f',
      'part:s:a',
      'part:s:b',
    ]);
  });

  it('lists contents that have a limit', () => {
    const contents = listContents({ request: 'f', service: 's', sharedParts: ['a'] });
    expect(contents.map((content) => crashLimitOf(content).maxCrashes)).toEqual([3, 4]);
  });
});

describe('crashLimitOf', () => {
  it('never refuses a content of an unknown kind', () => {
    expect(crashLimitOf('colour:red').maxCrashes).toBe(Infinity);
  });
});
