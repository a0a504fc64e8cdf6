/** Reads the configuration from a table by applying all its revisions. */

import { applyRevision } from '../../configuration/applyRevision';
import type { Configuration } from '../../configuration/configuration';
import { createConfiguration } from '../../configuration/createConfiguration';
import { decodeRevisionOrThrow } from '../decodeRevisionOrThrow';
import { CONFIGURATION_TABLE } from '../../configuration/configurationConstants';
import { formatRevisionKey } from '../../configuration/formatRevisionKey';
import type { FakeTable } from './fakeTable';

export function readConfiguration(table: FakeTable): Configuration {
  const revisions = [...table.rows().values()]
    .filter((row) => row.table === CONFIGURATION_TABLE && row.key >= formatRevisionKey(1))
    .map((row) => decodeRevisionOrThrow(row.value))
    .sort((one, other) => one.number - other.number);
  return revisions.reduce<Configuration>(applyRevision, createConfiguration());
}
