/** Names and limits of the configuration's rows in the platform's table service. */

/** Table that holds the head row, the revision rows and the snapshot rows. */
export const CONFIGURATION_TABLE = 'configuration';

/** Key of the head row, whose value is `{"revision": n, "changeId": id}`. */
export const HEAD_KEY = 'head';

/** Prefix of the keys of revision rows. */
export const REVISION_PREFIX = 'revision/';

/** Digits of the number in a revision row's key; zero padding makes keys sort by number. */
export const REVISION_DIGITS = 12;

/** Largest number of changes in one revision. */
export const MAX_CHANGES_PER_REVISION = 5000;

/** Revisions that a VM keeps to send to peers; older ones are in the table. */
export const MAX_RECENT_REVISIONS = 512;

/** Revisions read from the table or sent to a peer at once. */
export const MAX_REVISIONS_PER_FETCH = 64;

/** Objects in one chunk of a snapshot. */
export const MAX_OBJECTS_PER_CHUNK = 500;
