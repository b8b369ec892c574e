package org.hickorypier.daemon.owner;

/** Names of the topics, keys and group that the scheduler keeps in the store. */
final class JournalKeys {

  /**
   * The store keeps the newest record of each key of this topic for good, so the scheduler writes
   * no snapshots of its own.
   */
  static final String TOPIC = "keyed.hickorypier-journal";

  /** Holds the present owner, for the instances that do not own the cell. */
  static final String DIRECTORY_TOPIC = "keyed.hickorypier-directory";

  static final String DIRECTORY_KEY = "cell-0";
  static final int PARTITION = 0;
  static final String GROUP = "hickorypier";
  static final String PRODUCER = "owner";

  /** The owner record, which each owner writes first, with its epoch. */
  static final String OWNER = "owner";

  static final String ROSTER = "roster";

  /** The speeds of the workers, which a successor may do without and older versions ignore. */
  static final String SPEEDS = "speeds";

  /** Written as a proof of ownership while there is nothing else to write. */
  static final String PROOF = "proof";

  private static final String SPEC_PREFIX = "s.";
  private static final String PROGRESS_PREFIX = "p.";

  /** Begins the keys of cancellations of submissions that were not durable. */
  private static final String EARLY_CANCELLATION_PREFIX = "c.";

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

  static String earlyCancellationKey(String id) {
    return EARLY_CANCELLATION_PREFIX + id;
  }

  static boolean isEarlyCancellationKey(String key) {
    return key.startsWith(EARLY_CANCELLATION_PREFIX);
  }

  static String earlyCancellationId(String key) {
    return key.substring(EARLY_CANCELLATION_PREFIX.length());
  }
}
