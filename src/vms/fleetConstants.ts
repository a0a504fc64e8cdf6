/** Periods, timeouts and limits of the fleet side. */

/** Name of the timer that drives all periodic tasks of the fleet side. */
export const TICK_TIMER = 'tick';

/** Time between two evaluations of the health of backend servers, milliseconds. */
export const HEALTH_EVALUATION_PERIOD_MS = 200;

/** Time between two ticks, milliseconds. */
export const TICK_MS = 100;

/** Gap between two events after which a VM assumes that it was paused, milliseconds. */
export const PAUSE_THRESHOLD_MS = 1000;

/** Largest number of VMs of a small fleet or region, which has a shorter probe period and more watchers. */
export const SMALL_FLEET_VMS = 32;

/** Time between two rounds of probes in a small fleet, milliseconds. */
export const SHORT_PROBE_PERIOD_MS = 250;

/** Time between two rounds of probes in a larger fleet, milliseconds. */
export const LONG_PROBE_PERIOD_MS = 500;

/** VMs of the own region that are probed in one round. */
export const PROBES_PER_ROUND = 2;

/** VMs in the failure domain of a suspected VM that are probed in one round. */
export const PROBED_NEIGHBOURS = 4;

/** Every n-th round also probes a VM of another region. */
export const ROUNDS_PER_REMOTE_PROBE = 4;

/** Every n-th round also probes a VM declared dead, to detect those that recovered. */
export const ROUNDS_PER_DEAD_PROBE = 4;

/** Timeout of a direct probe within the region, milliseconds. */
export const DIRECT_TIMEOUT_MS = 150;

/** Timeout of a direct probe to another region, milliseconds. */
export const REMOTE_TIMEOUT_MS = 500;

/** VMs that are asked to probe a VM that did not answer. */
export const INDIRECT_PROBES = 3;

/** Additional timeout of indirect probes before a VM is suspected, milliseconds. */
export const INDIRECT_TIMEOUT_MS = 250;

/** Timeout of a suspicion for each doubling of the fleet, milliseconds. */
export const SUSPICION_MS_PER_DOUBLING = 150;

/** Age up to which a datagram from a VM outweighs a peer's claim that it is dead, milliseconds. */
export const RECENT_CONTACT_MS = 1000;

/** Maximum number of probes in flight. */
export const MAX_PROBES = 64;

/** Maximum number of probes in flight on behalf of other VMs. */
export const MAX_RELAYED_PROBES = 256;

/** Maximum number of known VMs, including dead ones. */
export const MAX_MEMBERS = 1024;

/** Time after which a VM that left or was removed from the list is purged, milliseconds. */
export const LEFT_MEMBER_TTL_MS = 60_000;

/** Time after which a dead VM that is still listed is purged, milliseconds. */
export const DEAD_MEMBER_TTL_MS = 3_600_000;

/** Time between two purges of old members, milliseconds. */
export const MEMBER_PURGE_PERIOD_MS = 10_000;

/** How many times a change of a member is sent, for each doubling of the fleet. */
export const RUMOR_SENDS_PER_DOUBLING = 2;

/** How many times a member's new revision is sent, for each doubling of the fleet. */
export const APPLIED_SENDS_PER_DOUBLING = 1;

/** How many times a full record is sent, for each doubling; a VM that still lacks it requests it. */
export const INTRODUCTION_SENDS_PER_DOUBLING = 0.5;

/** Maximum number of member entries in one datagram. */
export const MAX_ENTRIES_PER_DATAGRAM = 24;

/** Maximum number of full records of VMs in one datagram. */
export const MAX_RECORDS_PER_DATAGRAM = 3;

/** Maximum number of full records of VMs in one message on the reliable channel. */
export const MAX_RECORDS_PER_MESSAGE = 200;

/** Members whose entry each probe and answer repeats in rotation, whether or not it changed. */
export const REFRESHED_ENTRIES = 4;

/** Largest body of a datagram, without the envelope, bytes. */
export const DATAGRAM_BUDGET_BYTES = 1080;

/** VMs that are notified immediately of an urgent change. */
export const URGENT_TARGETS = 3;

/** Time after its start during which a VM sends its full record with each datagram, milliseconds. */
export const INTRODUCTION_MS = 5000;

/** Time before an unanswered request for missing data is repeated, milliseconds. */
export const FETCH_RETRY_MS = 1000;

/** Minimum time between two reads of the platform's list or the head row, milliseconds. */
export const MIN_POLL_MS = 2000;

/** Time between two of these reads per VM in the fleet, which bounds the fleet's reads per second. */
export const POLL_MS_PER_VM = 40;

/** Time between two reads of the head row while the VM accepts no requests, milliseconds. */
export const UNAVAILABLE_POLL_MS = 500;

/** Time without contact with the store or any peer after which a VM refuses new requests, milliseconds. */
export const ISOLATION_TIMEOUT_MS = 2500;

/** Time for which a VM may lag behind a known revision before it refuses new requests, milliseconds. */
export const MAX_CONFIGURATION_LAG_MS = 5000;

/** Time that a new VM waits for peers before it trusts the highest known revision, milliseconds. */
export const HEAD_DISCOVERY_MS = 500;

/** Time after which a single dead VM counts as stopped: it is isolated and refuses requests by then. */
export const DEAD_VM_STOPPED_MS = 2 * ISOLATION_TIMEOUT_MS;

/** Maximum number of VMs named as pending for a revision. */
export const MAX_WAITS_FOR = 20;

/** Watchers of each backend server in a region of up to `SMALL_FLEET_VMS` VMs. */
export const WATCHERS_PER_SERVER = 2;

/** Watchers of each backend server in a larger region, where many other VMs can probe it themselves. */
export const WATCHERS_IN_LARGE_REGION = 1;

/** Time between two probes of a backend server by one watcher, milliseconds. */
export const SERVER_PROBE_PERIOD_MS = 1000;

/** Delay between the probes of a round and the digest of their results, milliseconds. */
export const DIGEST_DELAY_MS = 100;

/** Age up to which a backend server's report makes it usable, milliseconds. */
export const SERVER_REPORT_TTL_MS = 2500;

/** Age of a backend server's report above which a VM probes the server itself, milliseconds. */
export const OWN_PROBE_AGE_MS = 2100;

/** Maximum number of servers with stale reports that a VM probes per health evaluation. */
export const MAX_OWN_PROBES = 20;

/** Maximum number of digests of backend servers in one datagram. */
export const MAX_DIGESTS_PER_DATAGRAM = 40;

/** Maximum size of a digest without the server's id, bytes. */
export const DIGEST_BYTES = 38;

/** Maximum total size of the digests in one datagram, bytes. */
export const DIGESTS_BUDGET_BYTES = 840;

/** Time during which a backend server that began to leave is sent first, milliseconds. */
export const LEAVING_PRIORITY_MS = 3000;

/** Maximum number of backend servers whose state is kept. */
export const MAX_SERVERS = 4096;

/** Consecutive failures on this VM after which a backend server is ejected. */
export const FAILURES_TO_EJECT = 5;

/** Duration of a backend server's first ejection; doubles with each further one, milliseconds. */
export const EJECTION_MS = 5000;

/** Maximum duration of an ejection, milliseconds. */
export const MAX_EJECTION_MS = 60_000;

/** Time over which the weight of a recovered backend server returns to 1, milliseconds. */
export const RAMP_UP_MS = 10_000;

/** Weight of a backend server immediately after it recovers. */
export const INITIAL_WEIGHT = 0.1;

/** Ejections are ignored while they cover more than this share of a group of equivalent servers. */
export const PANIC_SHARE = 0.5;

/** Maximum number of suspect contents kept. */
export const MAX_SUSPECTS = 1000;

/** Maximum number of suspect contents in one datagram. */
export const MAX_SUSPECTS_PER_DATAGRAM = 4;

/** Age after which a suspect content is dropped, milliseconds. */
export const SUSPECT_TTL_MS = 600_000;

/** Time between two reports of usage to the aggregators, milliseconds. */
export const USAGE_REPORT_PERIOD_MS = 1000;

/** Maximum number of workspaces whose usage one VM reports in one period. */
export const MAX_USAGE_ENTRIES_PER_PERIOD = 64;

/** Maximum number of usage entries in one datagram. */
export const MAX_USAGE_ENTRIES_PER_DATAGRAM = 24;

/** Maximum number of workspaces whose reported usage an aggregator keeps. */
export const MAX_AGGREGATED_WORKSPACES = 20_000;

/** Maximum number of aggregators a VM reports to in one period; the others follow in rotation. */
export const MAX_USAGE_DATAGRAMS_PER_PERIOD = 4;

/** Age after which reported usage is dropped, milliseconds. */
export const USAGE_TTL_MS = 15_000;

/** Default time for which an answer with addresses is valid, milliseconds. */
export const ANSWER_VALID_MS = 8000;

/** Maximum number of addresses in one answer. */
export const ADDRESSES_PER_ANSWER = 3;

/** Time for a drain mark to reach every VM, added to the validity of answers, milliseconds. */
export const DRAIN_SPREAD_MS = 2000;

/** Maximum number of crashed servers named with a suspect content; two are enough to refuse it. */
export const MAX_SUSPECT_SERVERS = 4;
