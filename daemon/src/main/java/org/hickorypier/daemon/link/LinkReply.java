package org.hickorypier.daemon.link;

import java.util.List;
import java.util.Map;
import org.hickorypier.core.cell.StartOutcome;
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
   */
  record Refused(String reason, long retryAfterMillis) implements LinkReply {}

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
   * The outcome of a relayed start order.
   *
   * @param outcome the worker's answer
   */
  record Started(StartOutcome outcome) implements LinkReply {}

  /**
   * The newest configuration in the store, as the receiver of the request has read it.
   *
   * @param ageMillis how long ago that read was sent, in milliseconds
   * @param record the record in the store if its version is not the one asked about, otherwise
   *     empty
   */
  record Configuration(long ageMillis, String record) implements LinkReply {}

  /** The instance is not, or no longer, the owner; the request may be sent to the next owner. */
  record NotOwner() implements LinkReply {}

  /** The request could not be carried out, for instance because the advisor gave no answer. */
  record Failed() implements LinkReply {}

  /** An acknowledgement without data. */
  record Noted() implements LinkReply {}
}
