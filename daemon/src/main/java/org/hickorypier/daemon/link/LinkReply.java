package org.hickorypier.daemon.link;

import java.util.List;
import java.util.Map;
import org.hickorypier.core.admission.CopyOutcome;
import org.hickorypier.core.cell.StartAnswer;
import org.hickorypier.core.submission.SubmissionState;

/** A reply to a {@link LinkRequest}. All implementations are immutable. */
public sealed interface LinkReply {

  /** The submission is durable. */
  record Accepted() implements LinkReply {}

  /**
   * The submission was refused and never runs.
   *
   * @param reason the reason
   * @param retryAfterMillis the delay before a retry, in milliseconds
   * @param epoch the epoch of the owner that refused it; 0 if unknown, as from earlier versions
   */
  record Refused(String reason, long retryAfterMillis, int epoch) implements LinkReply {

    /**
     * Creates a refusal without an epoch.
     *
     * @param reason the reason
     * @param retryAfterMillis the delay before a retry, in milliseconds
     */
    public Refused(String reason, long retryAfterMillis) {
      this(reason, retryAfterMillis, 0);
    }
  }

  /**
   * The state of a submission.
   *
   * @param state the state
   */
  record State(SubmissionState state) implements LinkReply {}

  /** There is no such submission. */
  record NotKnown() implements LinkReply {}

  /**
   * A number: the waiting submissions of a queue, or the microseconds of a pace measurement.
   *
   * @param number the value
   */
  record Number(int number) implements LinkReply {}

  /**
   * The advisor's answer.
   *
   * @param tickets the tickets of the suitable workers, by worker name
   * @param validMillis the validity of the tickets, in milliseconds
   */
  record Tickets(Map<String, String> tickets, long validMillis) implements LinkReply {

    /** Copies the map, so that the record is immutable. */
    public Tickets {
      tickets = Map.copyOf(tickets);
    }
  }

  /**
   * Lines of text for an operator.
   *
   * @param lines the lines
   */
  record Lines(List<String> lines) implements LinkReply {

    /** Copies the list, so that the record is immutable. */
    public Lines {
      lines = List.copyOf(lines);
    }
  }

  /**
   * The answer to a relayed start order.
   *
   * @param answer the worker's answer
   */
  record Started(StartAnswer answer) implements LinkReply {}

  /**
   * The newest configuration in the store, as the receiver of the request has read it.
   *
   * @param ageMillis how long ago that read was sent, in milliseconds
   * @param record the record in the store if its version is not the one asked about, otherwise
   *     empty
   */
  record Configuration(long ageMillis, String record) implements LinkReply {}

  /**
   * The instance is not, or no longer, the owner; the request may be sent to the next owner.
   *
   * @param writingEpoch the epoch under which the receiver may have written the request to the
   *     journal, {@link CopyOutcome#NOT_WRITTEN} if it has not and will not, or {@link
   *     CopyOutcome#NOT_TOLD}, as from earlier versions
   */
  record NotOwner(int writingEpoch) implements LinkReply {

    /** Creates a reply that does not say whether the request was written. */
    public NotOwner() {
      this(CopyOutcome.NOT_TOLD);
    }

    /**
     * Returns the reply to a request that the receiver has not written and will not write.
     *
     * @return the reply
     */
    public static NotOwner notWritten() {
      return new NotOwner(CopyOutcome.NOT_WRITTEN);
    }
  }

  /** The request could not be carried out, for instance because the advisor gave no answer. */
  record Failed() implements LinkReply {}

  /** An acknowledgement without data. */
  record Noted() implements LinkReply {}
}
