package org.hickorypier.core.membership;

import java.util.Collection;

/**
 * How old the configuration of this instance can be at the most.
 *
 * <p>Failure: an instance cut off from the log goes on taking work for a key that was withdrawn.
 * Three things prove that nothing newer was in force at a moment: reading to the end of the log;
 * the word of a peer that holds no newer state and has such a proof itself; and the word of every
 * listed instance that it holds nothing newer, for a change is only acknowledged by an instance
 * which has folded it. The third keeps all of them working while the log is down for all.
 *
 * <p>A proof counts from the moment the question was sent, on this instance's own monotonic clock.
 * So an answer that lay in a socket while the process was paused proves nothing recent. Belongs to
 * the control thread.
 */
public final class FreshnessProof {

  private boolean proved;
  private long provedMillis;

  /**
   * Takes in that the end of the log was read.
   *
   * @param sentMillis when the read was sent
   */
  public void recordLogRead(long sentMillis) {
    prove(sentMillis);
  }

  /**
   * Takes in one round of answers from peers.
   *
   * @param sentMillis when the questions were sent
   * @param ownOffset the offset that this instance had folded when the answers were in
   * @param askedAll whether every other listed instance was asked
   * @param answers the answers that came; one for each instance asked if all came
   * @param asked how many instances were asked
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
        prove(sentMillis - answer.ageMillis());
      }
    }
    if (askedAll && asked > 0 && answers.size() == asked && nothingNewer) {
      prove(sentMillis);
    }
  }

  /**
   * Returns for how long changes may have been missed.
   *
   * @param now the time
   * @return milliseconds, {@link Long#MAX_VALUE} if nothing was ever proved
   */
  public long ageMillis(long now) {
    return proved ? Math.max(0, now - provedMillis) : Long.MAX_VALUE;
  }

  private void prove(long millis) {
    if (!proved || millis > provedMillis) {
      proved = true;
      provedMillis = millis;
    }
  }
}
