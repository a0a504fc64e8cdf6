/** Tells what a stream without a chain lacks, for the log. */

import { explainShortage } from '../../chains/explainShortage';
import type { ChainShortage } from '../../chains/explainShortage';
import type { GatewayHost, Job } from '../../gateway/job';
import { describeChainSearch } from './describeChainSearch';
import type { StreamChainSearch } from './describeChainSearch';

/** @returns undefined for a service without chains */
export function explainStreamShortage(
  host: GatewayHost,
  job: Job,
  search: StreamChainSearch,
): ChainShortage | undefined {
  const { model } = job.profile;
  if (model === undefined) return undefined;
  return explainShortage(describeChainSearch(host, job, model, search));
}
