package org.hickorypier.daemon.link;

import java.util.List;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.submission.SubmissionSpec;

/** What one instance asks of another. All forms are immutable. */
public sealed interface LinkRequest {

  /**
   * Take a submission.
   *
   * @param spec the submission
   */
  record Submit(SubmissionSpec spec) implements LinkRequest {}

  /**
   * Tell the state of a submission.
   *
   * @param id the submission's id
   * @param customer the customer that asks, or empty on a public queue
   */
  record Inquire(String id, String customer) implements LinkRequest {}

  /**
   * Cancel a submission.
   *
   * @param id the submission's id
   * @param customer the customer that asks, or empty on a public queue
   */
  record Cancel(String id, String customer) implements LinkRequest {}

  /**
   * Count the waiting submissions of a queue.
   *
   * @param queue the queue's name
   */
  record Count(String queue) implements LinkRequest {}

  /**
   * Ask the advisor: it serves one call at a time for each instance, so the owner spreads its
   * questions over all.
   *
   * @param step the step's name
   * @param workers the workers to name
   * @param timeoutMillis how long the call may take, in milliseconds
   */
  record Advise(String step, List<String> workers, long timeoutMillis) implements LinkRequest {

    /** Copies the list, so that the record stays as it is. */
    public Advise {
      workers = List.copyOf(workers);
    }
  }

  /**
   * Explain where a submission stands and what its tasks wait for, to an operator.
   *
   * @param id the submission's id
   */
  record Explain(String id) implements LinkRequest {}

  /** Tell whether you are the owner and can prove it. */
  record ProveOwnership() implements LinkRequest {}

  /**
   * Know what the machine of the asking instance can carry as an owner.
   *
   * @param strength its score, in thousandths of a core
   * @param ageMillis how long its process has run, in milliseconds; 0 if it does not say
   */
  record Introduce(int strength, long ageMillis) implements LinkRequest {}

  /** Tell how long a fixed piece of work takes you now; a number of microseconds. */
  record MeasurePace() implements LinkRequest {}

  /**
   * Know what this instance left on the workers when it ceased to own the cell.
   *
   * @param epoch the epoch of its ownership
   * @param roster all workers that may still run something of that ownership, and what
   */
  record FormerOwner(int epoch, List<RosterEntry> roster) implements LinkRequest {

    /** Copies the list, so that the record stays as it is. */
    public FormerOwner {
      roster = List.copyOf(roster);
    }
  }

  /** Take the cell over: the owner is leaving, or the store refuses it. */
  record TakeOver() implements LinkRequest {}
}
