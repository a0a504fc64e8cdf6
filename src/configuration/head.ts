/** The head row: the highest committed revision and the change that made it. */

import type { RevisionNumber } from './configuration';

export interface Head {
  readonly revision: RevisionNumber;
  readonly changeId: string;
}
