package org.hickorypier.daemon;

import java.time.Duration;

/** Limits of the daemon that are not settings, each with its reason. */
final class DaemonConstants {

  /** The stream of teams, keys and drains. */
  static final String CONFIGURATION_STREAM = "configuration";

  /** The stream of accepted work and its attempts. */
  static final String JOURNAL_STREAM = "journal";

  /** The stream of the teams' permits. */
  static final String PERMIT_STREAM = "permits";

  /** A digest's period, so that the shifter has seen a peer's room at least once. */
  static final long SHIFT_PATIENCE_MILLIS = 1_200;

  /** An answer of the log that is overdue for so long is not about to come. */
  static final long LOG_SILENT_MILLIS = 2_000;

  /** The platform's list lags by seconds; asking more often brings nothing new. */
  static final Duration LIST_PERIOD = Duration.ofSeconds(1);

  /** A caller on the slowest usual line sends a body of 1 MiB in less. */
  static final long SENDER_MILLIS = 10_000;

  /**
   * Added to a lease before its tasks count as ended: room for two clocks that differ by a tenth
   * over the longest usual lease, and for an order that was under way.
   */
  static final long LEASE_MARGIN_MILLIS = 5_000;

  /** Three tries see a request past a rack that fails; more would add load to a failing cell. */
  static final int RETRY_LIMIT = 3;

  /** A caller who has lost the connection asks again within a minute. */
  static final long ANSWER_KEEP_MILLIS = 60_000;

  /** An eighth of the heap; older answers go first. */
  static final long ANSWER_KEEP_BYTES = 8L * 1_024 * 1_024;

  /** A minute of 500 requests a second, in some 5 MB. */
  static final int RECENT_REQUESTS_LIMIT = 32_768;

  /** Waiting work is looked at on every event; the tick only finds passed deadlines. */
  static final long TICK_MILLIS = 50;

  /** The first question after an uncertain order goes out soon, since its room stays taken. */
  static final long SETTLE_MILLIS = 100;

  /** With five doublings the questions to a silent worker settle at one in 3.2 s. */
  static final int SETTLE_DOUBLINGS = 5;

  /**
   * For answers in progress when an incarnation is given up. Most requests are answered in less;
   * longer, and all work of which this instance is home is refused meanwhile.
   */
  static final long ABANDON_MILLIS = 1_000;

  /** Ends of tasks on workers that others control are noticed within this time. */
  static final long POLL_MILLIS = 2_000;

  /** The longest synchronous request; longer work is a job. */
  static final long LONGEST_RUN_MILLIS = 10 * 60 * 1_000;

  /** Former homes are asked for as long as a request can wait and run. */
  static final long HOME_HISTORY_MILLIS = 2 * LONGEST_RUN_MILLIS;

  private DaemonConstants() {}
}
