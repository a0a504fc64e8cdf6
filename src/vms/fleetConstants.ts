/** Periods, bounds and limits of the fleet side, in one place. */

/** Name of the one timer that drives everything periodic here. */
export const TICK_TIMER = 'tick';

/** Time between two judgements of backend servers, milliseconds. */
export const HEALTH_EVALUATION_PERIOD_MS = 200;

/** Time between two ticks, milliseconds. */
export const TICK_MS = 100;

/** Silence of the node's own clock after which it takes itself to have been paused, milliseconds. */
export const PAUSE_THRESHOLD_MS = 1000;

/** Up to this many VMs the short period holds; above it the long one. */
export const SMALL_FLEET_VMS = 32;

/** Time between two rounds of probes in a small fleet, milliseconds. */
export const SHORT_PROBE_PERIOD_MS = 250;

/** Time between two rounds of probes in a larger fleet, milliseconds. */
export const LONG_PROBE_PERIOD_MS = 500;

/** VMs of the own region that are probed in one round. */
export const PROBES_PER_ROUND = 2;

/** VMs of a suspected one's failure domain that are probed in one round. */
export const PROBED_NEIGHBOURS = 4;

/** One round in so many also probes a VM of another region. */
export const ROUNDS_PER_REMOTE_PROBE = 4;

/** One round in so many also probes a VM that is held for dead, to find those that came back. */
export const ROUNDS_PER_DEAD_PROBE = 4;

/** Wait for the answer of a VM in the own region before others are asked, milliseconds. */
export const DIRECT_TIMEOUT_MS = 150;

/** Wait for the answer of a VM in another region before others are asked, milliseconds. */
export const REMOTE_TIMEOUT_MS = 500;

/** VMs that are asked to probe one that did not answer. */
export const INDIRECT_PROBES = 3;

/** Further wait, after others were asked, before a VM is suspected, milliseconds. */
export const INDIRECT_TIMEOUT_MS = 250;

/** A suspicion lasts this long for each doubling of the fleet, milliseconds. */
export const SUSPICION_MS_PER_DOUBLING = 150;

/** A word straight from a VM this recent outweighs another's word that it is dead, milliseconds. */
export const RECENT_CONTACT_MS = 1000;

/** Probes in flight that are remembered. */
export const MAX_PROBES = 64;

/** Probes for others in flight that are remembered. */
export const MAX_RELAYED_PROBES = 256;

/** VMs that are remembered, dead ones included. */
export const MAX_MEMBERS = 1024;

/** A VM that left or was replaced is forgotten after this, milliseconds. */
export const LEFT_MEMBER_TTL_MS = 60_000;

/** A VM that is held for dead and still listed is forgotten after this, milliseconds. */
export const DEAD_MEMBER_TTL_MS = 3_600_000;

/** Time between two looks for members to forget, milliseconds. */
export const MEMBER_PURGE_PERIOD_MS = 10_000;

/** Times that one change of a member is passed on, for each doubling of the fleet. */
export const RUMOR_SENDS_PER_DOUBLING = 2;

/** Times that a member's new revision is passed on, for each doubling of the fleet. */
export const APPLIED_SENDS_PER_DOUBLING = 1;

/** Times that a full record is passed on, for each doubling; who lacks it still asks for it. */
export const INTRODUCTION_SENDS_PER_DOUBLING = 0.5;

/** Members that one datagram tells of. */
export const MAX_ENTRIES_PER_DATAGRAM = 24;

/** Full records of VMs in one datagram. */
export const MAX_RECORDS_PER_DATAGRAM = 3;

/** Full records of VMs in one message on the reliable channel. */
export const MAX_RECORDS_PER_MESSAGE = 200;

/** Members told of in turn, whether or not they changed, in each probe and answer. */
export const REFRESHED_ENTRIES = 4;

/** Body of a datagram before the envelope, bytes. */
export const DATAGRAM_BUDGET_BYTES = 1080;

/** VMs that hear of an urgent change at once. */
export const URGENT_TARGETS = 3;

/** A VM sends its full record with each probe for so long after its start, milliseconds. */
export const INTRODUCTION_MS = 5000;

/** Wait before the same peer is asked again for what is missing, milliseconds. */
export const FETCH_RETRY_MS = 1000;

/** Least time between two reads of the platform's list or the head row, milliseconds. */
export const MIN_POLL_MS = 2000;

/** Time between two such reads for each VM in the fleet, which caps the fleet's reads a second. */
export const POLL_MS_PER_VM = 40;

/** Time between two such reads while the VM has no other word, milliseconds. */
export const UNAVAILABLE_POLL_MS = 500;

/** Without word of the store or of any peer for so long, a VM takes no new work, milliseconds. */
export const ISOLATION_TIMEOUT_MS = 2500;

/** Behind a revision that it knows of for so long, a VM takes no new work, milliseconds. */
export const MAX_CONFIGURATION_LAG_MS = 5000;

/** A new VM listens so long for its seeds before it trusts the highest revision heard, milliseconds. */
export const HEAD_DISCOVERY_MS = 500;

/** A dead VM alone counts as stopped after so long: it hears nobody and has refused work since. */
export const DEAD_VM_STOPPED_MS = 2 * ISOLATION_TIMEOUT_MS;

/** Names of VMs that a pending revision waits for, at most. */
export const MAX_WAITS_FOR = 20;

/** VMs that probe one backend server, in a region of up to `SMALL_FLEET_VMS`. */
export const WATCHERS_PER_SERVER = 2;

/** VMs that probe one backend server in a larger region, where many stand by to probe it themselves. */
export const WATCHERS_IN_LARGE_REGION = 1;

/** Time between two probes of one backend server by one watcher, milliseconds. */
export const SERVER_PROBE_PERIOD_MS = 1000;

/** Wait between the probes of a round and the digest that tells of them, milliseconds. */
export const DIGEST_DELAY_MS = 100;

/** A backend server without newer word than this gets no new work, milliseconds. */
export const SERVER_REPORT_TTL_MS = 2500;

/** Without newer word than this, a VM probes a backend server itself, milliseconds. */
export const OWN_PROBE_AGE_MS = 2100;

/** Probes of its own that a VM starts with one judgement, beside those it owes as a watcher. */
export const MAX_OWN_PROBES = 20;

/** Digests of backend servers in one datagram. */
export const MAX_DIGESTS_PER_DATAGRAM = 40;

/** Bytes of a digest beside the server's id, at most. */
export const DIGEST_BYTES = 38;

/** Bytes that digests take in one datagram. */
export const DIGESTS_BUDGET_BYTES = 840;

/** A backend server that began to leave is told of first for so long, milliseconds. */
export const LEAVING_PRIORITY_MS = 3000;

/** Backend servers that are remembered. */
export const MAX_SERVERS = 4096;

/** Failures in a row on this VM after which a backend server is ejected. */
export const FAILURES_TO_EJECT = 5;

/** First time for which a backend server is ejected; doubles each time, milliseconds. */
export const EJECTION_MS = 5000;

/** Longest time for which a backend server is ejected, milliseconds. */
export const MAX_EJECTION_MS = 60_000;

/** Time over which a backend server gets back to its usual load, milliseconds. */
export const RAMP_UP_MS = 10_000;

/** Share of its usual load with which a backend server comes back. */
export const INITIAL_WEIGHT = 0.1;

/** Ejections count for nothing while more than this share of alike servers would be out. */
export const PANIC_SHARE = 0.5;

/** Suspect contents that are remembered. */
export const MAX_SUSPECTS = 1000;

/** Suspect contents in one datagram. */
export const MAX_SUSPECTS_PER_DATAGRAM = 4;

/** Suspect contents older than this are forgotten, milliseconds. */
export const SUSPECT_TTL_MS = 600_000;

/** Time between two reports of a workspace's use to the VM that sums it, milliseconds. */
export const USAGE_REPORT_PERIOD_MS = 1000;

/** Workspaces whose use one VM reports in one period. */
export const MAX_USAGE_ENTRIES_PER_PERIOD = 64;

/** Uses in one datagram. */
export const MAX_USAGE_ENTRIES_PER_DATAGRAM = 24;

/** Uses of single VMs that a summing VM remembers. */
export const MAX_SUMMED_USAGE_ENTRIES = 20_000;

/** Datagrams with reports of use that one VM sends in one period; further workspaces wait their turn. */
export const MAX_USAGE_DATAGRAMS_PER_PERIOD = 4;

/** A use older than this counts as none, milliseconds. */
export const USAGE_TTL_MS = 15_000;

/** Time for which an answer with addresses stays good, milliseconds. */
export const ANSWER_VALID_MS = 8000;

/** Addresses in one answer. */
export const ADDRESSES_PER_ANSWER = 3;

/** Time that a drain mark may take to reach every VM, added to the validity, milliseconds. */
export const DRAIN_SPREAD_MS = 2000;

/** Crashed servers that are named with one suspect content; two are enough to refuse it. */
export const MAX_SUSPECT_SERVERS = 4;
