package org.hickorypier.core.membership;

import java.util.Collection;

/**
 * Bounds the staleness of this instance's configuration.
 *
 * <p>Without the bound, an instance that is partitioned from the log would keep accepting work for
 * an API key that was withdrawn. Three observations prove that nothing newer was in force at a
 * moment: a read to the end of the log; the answer of a peer that holds no newer state and has such
 * a proof itself; and the answers of all listed instances that they hold nothing newer, because
 * only an instance that has applied a change acknowledges it. The third one keeps all instances
 * working while the log is unavailable to all of them.
 *
 * <p>A proof counts from the moment at which the query was sent, on this instance's own monotonic
 * clock, so an answer that waited in a socket while the process was paused proves nothing recent.
 * Confined to the control thread.
 */
public final class FreshnessProof {

  private boolean hasProof;
  private long newestProofMillis;

  /**
   * Records that the end of the log was read.
   *
   * @param sentMillis the time at which the read was sent, in milliseconds
   */
  public void recordLogRead(long sentMillis) {
    recordProof(sentMillis);
  }

  /**
   * Records one round of answers from peers.
   *
   * @param sentMillis the time at which the queries were sent, in milliseconds
   * @param ownOffset the offset that this instance had applied when the answers had arrived
   * @param askedAll whether every other listed instance was queried
   * @param answers the answers that arrived; one for each queried instance if all arrived
   * @param asked the number of instances queried
   */
  public void recordPeerRound(
      long sentMillis,
      long ownOffset,
      boolean askedAll,
      Collection<PeerFreshness> answers,
      int asked) {
    boolean nothingNewer = true;
    for (PeerFreshness answer : answers) {
      if (answer.offset() > ownOffset) {
        nothingNewer = false;
      } else if (answer.ageMillis() != PeerFreshness.NEVER) {
        recordProof(sentMillis - answer.ageMillis());
      }
    }
    if (askedAll && asked > 0 && answers.size() == asked && nothingNewer) {
      recordProof(sentMillis);
    }
  }

  /**
   * Returns how old the newest proof is: changes since then may have been missed.
   *
   * @param now the time in milliseconds
   * @return the age in milliseconds, {@link Long#MAX_VALUE} if there is no proof yet
   */
  public long ageMillis(long now) {
    return hasProof ? Math.max(0, now - newestProofMillis) : Long.MAX_VALUE;
  }

  private void recordProof(long millis) {
    if (!hasProof || millis > newestProofMillis) {
      hasProof = true;
      newestProofMillis = millis;
    }
  }
}
