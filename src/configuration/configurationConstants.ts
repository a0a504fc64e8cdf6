/** Names and limits of the configuration's rows in the platform's table. */

/** Table that holds the head row, the revision rows and the snapshot rows. */
export const CONFIGURATION_TABLE = 'configuration';

/** Key of the head row, whose value is `{"revision": n, "changeId": id}`. */
export const HEAD_KEY = 'head';

/** Prefix of the keys of revision rows. */
export const REVISION_PREFIX = 'revision/';

/** Digits of the number in a revision row's key, so that keys sort as numbers do. */
export const REVISION_DIGITS = 12;

/** Largest number of changes in one revision. */
export const MAX_CHANGES_PER_REVISION = 5000;

/** Revisions that one VM keeps to hand to peers; older ones are in the table. */
export const MAX_KEPT_REVISIONS = 512;

/** Revisions read from the table or sent to a peer at once. */
export const MAX_REVISIONS_PER_FETCH = 64;

/** Objects in one chunk of a snapshot. */
export const MAX_OBJECTS_PER_CHUNK = 500;
