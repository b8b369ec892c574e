package org.hickorypier.daemon.link;

import java.util.List;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.platform.execution.StartOrder;

/** A request from one instance to another. All implementations are immutable. */
public sealed interface LinkRequest {

  /** The present version of the protocol. */
  int VERSION = 2;

  /** The first version whose instances take {@link StartRun} and {@link StandBy} requests. */
  int FIRST_VERSION_WITH_RELAYS = 1;

  /**
   * The first version whose instances tell others what they have read from the store: {@link
   * ProveConfiguration} and {@link FollowOwner}.
   */
  int FIRST_VERSION_WITH_RELAYED_READS = 2;

  /**
   * Accepts a submission.
   *
   * @param spec the submission
   * @param waitMillis how long the caller still waits, in milliseconds; 0 if unknown, as from
   *     earlier versions
   */
  record Submit(SubmissionSpec spec, long waitMillis) implements LinkRequest {

    /**
     * Creates a request whose caller waits for an unknown time.
     *
     * @param spec the submission
     */
    public Submit(SubmissionSpec spec) {
      this(spec, 0);
    }
  }

  /**
   * Queries the state of a submission.
   *
   * @param id the submission's id
   * @param customer the customer that sent the request, or empty on a public queue
   */
  record Inquire(String id, String customer) implements LinkRequest {}

  /**
   * Cancels a submission.
   *
   * @param id the submission's id
   * @param customer the customer that sent the request, or empty on a public queue
   */
  record Cancel(String id, String customer) implements LinkRequest {}

  /**
   * Counts the waiting submissions of a queue.
   *
   * @param queue the queue's name
   */
  record Count(String queue) implements LinkRequest {}

  /**
   * Calls the advisor. It serves one call at a time for each instance, so the owner distributes its
   * calls over all instances.
   *
   * @param step the step's name
   * @param workers the workers to ask about
   * @param timeoutMillis the time limit of the call, in milliseconds
   */
  record Advise(String step, List<String> workers, long timeoutMillis) implements LinkRequest {

    /** Copies the list, so that the record is immutable. */
    public Advise {
      workers = List.copyOf(workers);
    }
  }

  /**
   * Explains to an operator the state of a submission and what its tasks wait for.
   *
   * @param id the submission's id
   */
  record Explain(String id) implements LinkRequest {}

  /** Asks whether the receiver is the owner and can prove it. */
  record ProveOwnership() implements LinkRequest {}

  /**
   * Announces the capacity of the sender's machine for the role of owner.
   *
   * @param strength the score of the machine, in thousandths of a core
   * @param ageMillis how long the sender's process has run, in milliseconds; 0 if unknown
   * @param version the sender's version of this protocol; 0 if unknown
   */
  record Introduce(int strength, long ageMillis, int version) implements LinkRequest {}

  /** Asks how long a fixed piece of work currently takes the receiver, in microseconds. */
  record MeasurePace() implements LinkRequest {}

  /**
   * Reports what the sender left on the workers when its ownership of the cell ended.
   *
   * @param epoch the epoch of that ownership
   * @param roster all workers that may still have runs of that ownership, with these runs
   */
  record FormerOwner(int epoch, List<RosterEntry> roster) implements LinkRequest {

    /** Copies the list, so that the record is immutable. */
    public FormerOwner {
      roster = List.copyOf(roster);
    }
  }

  /**
   * Asks the receiver to send a start order to a worker on behalf of the owner.
   *
   * @param order the order; its text is empty if it is not included
   * @param textIncluded whether the order has its text; if not, the receiver has it from the
   *     submission or from an earlier order of it
   */
  record StartRun(StartOrder order, boolean textIncluded) implements LinkRequest {}

  /**
   * Asks for the newest configuration that the receiver has read from the store, since the store
   * does not answer the sender.
   *
   * @param version the version that the sender knows, or 0
   */
  record ProveConfiguration(long version) implements LinkRequest {}

  /**
   * Tells the receiver of the owner, of which it cannot read while the store does not answer it.
   *
   * @param epoch the owner's epoch
   * @param address the address at which other instances reach the owner
   * @param strength the score of the owner's machine, in thousandths of a core
   */
  record FollowOwner(int epoch, String address, int strength) implements LinkRequest {}

  /** Asks the receiver to follow the journal for some seconds, so that it can take over at once. */
  record StandBy() implements LinkRequest {}

  /** Asks the receiver to take the cell over: the owner is leaving, or the store refuses it. */
  record TakeOver() implements LinkRequest {}
}
