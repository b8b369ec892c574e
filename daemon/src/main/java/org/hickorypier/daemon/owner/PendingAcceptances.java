package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.hickorypier.core.admission.WithdrawalPolicy;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.daemon.link.LinkReply;

/**
 * The callers that wait until their submission is written to the journal.
 *
 * <p>Invariant: a submission is refused only after the journal has given it up, so that it is never
 * written. Confined to the control thread.
 */
final class PendingAcceptances {

  private static final long UNKNOWN = Long.MAX_VALUE;

  private final LongSupplier clock;
  private final Journal journal;
  private final Map<Submission, Waiting> waiting = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param clock the owner's monotonic clock, in milliseconds
   */
  PendingAcceptances(LongSupplier clock, Journal journal) {
    this.clock = clock;
    this.journal = journal;
  }

  /** The journal to which the submissions are written. */
  interface Journal {

    /** Returns for how long the store has been unavailable, in milliseconds; 0 if it is not. */
    long unavailableMillis();

    /**
     * Gives a submission up unless an append may have written it.
     *
     * @return true if it is never written
     */
    boolean withdraw(Submission submission);

    /** Returns whether no append carries a submission, so that it can still be withdrawn. */
    boolean isUnsent(Submission submission);
  }

  /** Returns the number of submissions for which callers wait. */
  int size() {
    return waiting.size();
  }

  /**
   * Adds a caller.
   *
   * @param waitMillis how long the caller waits, in milliseconds; not positive if unknown
   * @return the reply; never fails
   */
  Future<LinkReply> add(Submission submission, long waitMillis) {
    long now = clock.getAsLong();
    Waiting entry = waiting.computeIfAbsent(submission, key -> new Waiting(now));
    entry.deadline = Math.max(entry.deadline, waitMillis > 0 ? now + waitMillis : UNKNOWN);
    Promise<LinkReply> promise = Promise.promise();
    entry.promises.add(promise);
    return promise.future();
  }

  /** Tells the callers of a submission that it is written. */
  void accepted(Submission submission) {
    Waiting entry = waiting.remove(submission);
    if (entry != null) {
      entry.answer(new LinkReply.Accepted());
    }
  }

  /**
   * Refuses the submissions that are due by {@link WithdrawalPolicy} and are never written.
   *
   * @param refusal forgets a submission and returns the reply to its callers
   */
  void withdrawDue(Function<Submission, Future<LinkReply>> refusal) {
    long now = clock.getAsLong();
    for (Map.Entry<Submission, Waiting> each : List.copyOf(waiting.entrySet())) {
      Submission submission = each.getKey();
      Waiting entry = each.getValue();
      long remaining = entry.deadline == UNKNOWN ? UNKNOWN : entry.deadline - now;
      boolean due =
          WithdrawalPolicy.isDue(journal.unavailableMillis(), now - entry.since, remaining);
      if (due && journal.withdraw(submission)) {
        waiting.remove(submission);
        refusal.apply(submission).onSuccess(entry::answer);
      }
    }
  }

  /**
   * Refers all callers to the next owner, once the journal writes nothing more.
   *
   * @param epoch the epoch that ends
   */
  void end(int epoch) {
    Map<Submission, Waiting> left = Map.copyOf(waiting);
    waiting.clear();
    left.forEach(
        (submission, entry) ->
            entry.answer(
                journal.isUnsent(submission)
                    ? LinkReply.NotOwner.notWritten()
                    : new LinkReply.NotOwner(epoch)));
  }

  /** The callers of one submission. */
  private static final class Waiting {

    private final long since;
    private final List<Promise<LinkReply>> promises = new ArrayList<>();

    /** When the last of the callers gives up. */
    private long deadline;

    Waiting(long since) {
      this.since = since;
    }

    private void answer(LinkReply reply) {
      promises.forEach(promise -> promise.tryComplete(reply));
    }
  }
}
