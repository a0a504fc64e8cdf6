/** The configuration that a table's revisions add up to. */

import { applyRevision } from '../../configuration/applyRevision';
import type { Configuration } from '../../configuration/configuration';
import { createConfiguration } from '../../configuration/createConfiguration';
import { decodeRevisionOrThrow } from '../decodeRevisionOrThrow';
import { CONFIGURATION_TABLE } from '../../configuration/configurationConstants';
import { revisionKey } from '../../configuration/revisionKey';
import type { FakeTable } from './fakeTable';

/** Builds the configuration from the rows of the table. */
export function readConfiguration(table: FakeTable): Configuration {
  const revisions = [...table.rows().values()]
    .filter((row) => row.table === CONFIGURATION_TABLE && row.key >= revisionKey(1))
    .map((row) => decodeRevisionOrThrow(row.value))
    .sort((one, other) => one.number - other.number);
  return revisions.reduce<Configuration>(applyRevision, createConfiguration());
}
