package org.hickorypier.daemon.owner;

/** Names of what the scheduler keeps in the store. */
final class JournalKeys {

  /** Keeps the newest record of each key for good, so it needs no snapshots of ours. */
  static final String TOPIC = "keyed.hickorypier-journal";

  /** Tells instances that do not own the cell where its owner is. */
  static final String DIRECTORY_TOPIC = "keyed.hickorypier-directory";

  static final String DIRECTORY_KEY = "cell-0";
  static final int PARTITION = 0;
  static final String GROUP = "hickorypier";
  static final String PRODUCER = "owner";

  /** Written first by each owner, with its epoch. */
  static final String OWNER = "owner";

  static final String ROSTER = "roster";

  /** Written while there is nothing else to write, as a proof of ownership. */
  static final String PROOF = "proof";

  private static final String SPEC_PREFIX = "s.";
  private static final String PROGRESS_PREFIX = "p.";

  private JournalKeys() {}

  static String specKey(String id) {
    return SPEC_PREFIX + id;
  }

  static String progressKey(String id) {
    return PROGRESS_PREFIX + id;
  }

  static boolean isSpecKey(String key) {
    return key.startsWith(SPEC_PREFIX);
  }

  static String submissionId(String key) {
    return key.substring(SPEC_PREFIX.length());
  }
}
