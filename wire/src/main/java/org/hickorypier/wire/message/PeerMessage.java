package org.hickorypier.wire.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;

/**
 * A message between two entry instances.
 *
 * <p>Immutable, except that byte arrays are handed over and not copied: nobody changes them after.
 * A missing component makes a message undecodable. Numbers given as {@code correlation} are set by
 * the network of the sender, so users create messages with {@link #NO_CORRELATION}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hi"),
  @JsonSubTypes.Type(value = PeerMessage.Proof.class, name = "pr"),
  @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "hb"),
  @JsonSubTypes.Type(value = PeerMessage.OpenRequests.class, name = "o"),
  @JsonSubTypes.Type(value = PeerMessage.Settled.class, name = "s"),
  @JsonSubTypes.Type(value = PeerMessage.Digest.class, name = "D"),
  @JsonSubTypes.Type(value = PeerMessage.DigestChange.class, name = "d"),
  @JsonSubTypes.Type(value = PeerMessage.ConfigurationPush.class, name = "c"),
  @JsonSubTypes.Type(value = PeerMessage.Part.class, name = "p"),
  @JsonSubTypes.Type(value = PeerMessage.ForwardedWork.class, name = "w"),
  @JsonSubTypes.Type(value = PeerMessage.ForwardedAnswer.class, name = "a"),
  @JsonSubTypes.Type(value = PeerMessage.Question.class, name = "q"),
  @JsonSubTypes.Type(value = PeerMessage.Reply.class, name = "r"),
  @JsonSubTypes.Type(value = PeerMessage.Failure.class, name = "f"),
})
public sealed interface PeerMessage {

  /** The correlation of a message that has not been sent yet. */
  long NO_CORRELATION = 0;

  /** A message that is answered by exactly one {@link Answer} with the same correlation. */
  sealed interface Request extends PeerMessage {

    /**
     * Returns the number under which the sender awaits the answer.
     *
     * @return the correlation, unique within the sender's incarnation and the receiving instance
     */
    long correlation();

    /**
     * Returns the same request under another number.
     *
     * @param number the correlation
     * @return the copy
     */
    Request withCorrelation(long number);
  }

  /** The answer to a {@link Request}. */
  sealed interface Answer extends PeerMessage {

    /**
     * Returns the number of the request that this answers.
     *
     * @return the correlation
     */
    long correlation();

    /**
     * Returns the same answer under another number.
     *
     * @param number the correlation
     * @return the copy
     */
    Answer withCorrelation(long number);
  }

  /**
   * The first message on a connection, in both directions.
   *
   * @param name the sender's name
   * @param incarnation the sender's incarnation
   * @param nonce random bytes, fresh for this connection
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Hello(String name, long incarnation, byte[] nonce) implements PeerMessage {

    /** Checks that nothing is missing. */
    public Hello {
      Objects.requireNonNull(name);
      Objects.requireNonNull(nonce);
    }
  }

  /**
   * The second message on a connection: the sender knows the shared secret.
   *
   * @param hmac HMAC-SHA256 over both names, incarnations and nonces
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Proof(byte[] hmac) implements PeerMessage {

    /** Checks that nothing is missing. */
    public Proof {
      Objects.requireNonNull(hmac);
    }
  }

  /**
   * A sign of life, sent when nothing else was.
   *
   * @param sequence counts the heartbeats of the link, from 1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Heartbeat(long sequence) implements PeerMessage {}

  /**
   * The first message of a replaced link: which of the sender's earlier requests are still open.
   * They are sent again; the answers to all others may be forgotten.
   *
   * @param correlations the open requests
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record OpenRequests(List<Long> correlations) implements PeerMessage {

    /** Copies the list. */
    public OpenRequests {
      correlations = List.copyOf(correlations);
    }
  }

  /**
   * Requests of the sender that are settled, so that their answers may be forgotten.
   *
   * @param correlations the requests
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Settled(List<Long> correlations) implements PeerMessage {

    /** Copies the list. */
    public Settled {
      correlations = List.copyOf(correlations);
    }
  }

  /**
   * What the others need to know of an instance to route work and to count fair shares.
   *
   * @param configurationOffset the offset up to which it has folded the configuration
   * @param logAgeMillis how long ago it last read from the log, or heard of one who had
   * @param taking whether it takes new work; false while draining or not ready
   * @param milliProcessors free thousandths of processors on its workers
   * @param memoryMebibytes free memory on its workers in MiB
   * @param accelerators free accelerators on its workers
   * @param slots free slots on its workers
   * @param waiting waiting tasks by class, in the order of the classes
   * @param teams use by team, of every team that has tasks running or waiting
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Digest(
      long configurationOffset,
      long logAgeMillis,
      boolean taking,
      long milliProcessors,
      long memoryMebibytes,
      int accelerators,
      int slots,
      List<Integer> waiting,
      List<TeamUse> teams)
      implements PeerMessage {

    /** Copies the lists. */
    public Digest {
      waiting = List.copyOf(waiting);
      teams = List.copyOf(teams);
    }
  }

  /**
   * A {@link Digest} as it travels: what has changed since the one before on the same link. Made by
   * {@link DigestWriter}, read by {@link DigestReader}.
   *
   * @param configurationOffset as in the digest
   * @param logAgeMillis as in the digest
   * @param taking as in the digest
   * @param milliProcessors as in the digest
   * @param memoryMebibytes as in the digest
   * @param accelerators as in the digest
   * @param slots as in the digest
   * @param waiting as in the digest
   * @param fresh whether what came before on the link is to be forgotten, names included
   * @param names teams named for the first time; they are numbered on from those before
   * @param uses the teams whose use has changed
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record DigestChange(
      long configurationOffset,
      long logAgeMillis,
      boolean taking,
      long milliProcessors,
      long memoryMebibytes,
      int accelerators,
      int slots,
      List<Integer> waiting,
      boolean fresh,
      List<String> names,
      List<NumberedUse> uses)
      implements PeerMessage {

    /** Copies the lists. */
    public DigestChange {
      waiting = List.copyOf(waiting);
      names = List.copyOf(names);
      uses = List.copyOf(uses);
    }
  }

  /**
   * A record of the configuration stream, passed on.
   *
   * @param offset its offset
   * @param data the record as it stands in the log
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ConfigurationPush(long offset, byte[] data) implements PeerMessage {

    /** Checks that nothing is missing. */
    public ConfigurationPush {
      Objects.requireNonNull(data);
    }
  }

  /**
   * A stretch of an encoded message that is too long for one frame. Parts of one message follow one
   * another in order; other messages may come in between, parts of other messages may not.
   *
   * @param offset where the stretch starts
   * @param total the length of the whole encoded message
   * @param data the stretch
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Part(int offset, int total, byte[] data) implements PeerMessage {

    /** Checks that nothing is missing. */
    public Part {
      Objects.requireNonNull(data);
    }
  }

  /**
   * A request or job handed to another instance.
   *
   * @param correlation see {@link Request}
   * @param team the team whose key came with it
   * @param requestId the caller's request id
   * @param workClass the name of its class
   * @param milliProcessors thousandths of a processor that each task declares
   * @param memoryMebibytes MiB that each task declares
   * @param accelerators accelerators that each task declares
   * @param tasks the number of tasks
   * @param idempotent whether it may run again after an attempt with unknown fate
   * @param remainingMillis time left until the latest useful start, when sent
   * @param expectedRunMillis the declared run time of a task
   * @param name the caller's name for this sort of work
   * @param payload what the task is given
   * @param hops how many times it has been handed on, this time included
   * @param mayHaveRun whether an earlier try of the same work may have run
   * @param triedForMillis how long ago its caller first asked, as far as known
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ForwardedWork(
      long correlation,
      String team,
      String requestId,
      String workClass,
      long milliProcessors,
      long memoryMebibytes,
      int accelerators,
      int tasks,
      boolean idempotent,
      long remainingMillis,
      long expectedRunMillis,
      String name,
      byte[] payload,
      int hops,
      boolean mayHaveRun,
      long triedForMillis)
      implements Request {

    /** Checks that nothing is missing. */
    public ForwardedWork {
      Objects.requireNonNull(team);
      Objects.requireNonNull(requestId);
      Objects.requireNonNull(workClass);
      Objects.requireNonNull(name);
      Objects.requireNonNull(payload);
    }

    @Override
    public ForwardedWork withCorrelation(long number) {
      return new ForwardedWork(
          number,
          team,
          requestId,
          workClass,
          milliProcessors,
          memoryMebibytes,
          accelerators,
          tasks,
          idempotent,
          remainingMillis,
          expectedRunMillis,
          name,
          payload,
          hops,
          mayHaveRun,
          triedForMillis);
    }
  }

  /**
   * What became of forwarded work.
   *
   * @param correlation see {@link Answer}
   * @param outcome the name of the outcome; empty if the work was accepted and is still to run
   * @param refusalReason the name of the reason if it was refused, else empty
   * @param detail a sentence for the caller
   * @param retryAfterMillis when to come back, 0 if there is no use in it
   * @param body the whole answer
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ForwardedAnswer(
      long correlation,
      String outcome,
      String refusalReason,
      String detail,
      long retryAfterMillis,
      byte[] body)
      implements Answer {

    /** Checks that nothing is missing. */
    public ForwardedAnswer {
      Objects.requireNonNull(outcome);
      Objects.requireNonNull(refusalReason);
      Objects.requireNonNull(detail);
      Objects.requireNonNull(body);
    }

    @Override
    public ForwardedAnswer withCorrelation(long number) {
      return new ForwardedAnswer(number, outcome, refusalReason, detail, retryAfterMillis, body);
    }
  }

  /**
   * Asks another instance something: an operator's query, a cancellation and the like.
   *
   * @param correlation see {@link Request}
   * @param kind what sort of question it is
   * @param text the question
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Question(long correlation, String kind, String text) implements Request {

    /** Checks that nothing is missing. */
    public Question {
      Objects.requireNonNull(kind);
      Objects.requireNonNull(text);
    }

    @Override
    public Question withCorrelation(long number) {
      return new Question(number, kind, text);
    }
  }

  /**
   * The answer to a {@link Question}.
   *
   * @param correlation see {@link Answer}
   * @param data the answer
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Reply(long correlation, byte[] data) implements Answer {

    /** Checks that nothing is missing. */
    public Reply {
      Objects.requireNonNull(data);
    }

    @Override
    public Reply withCorrelation(long number) {
      return new Reply(number, data);
    }
  }

  /**
   * The other side could not answer a request.
   *
   * @param correlation see {@link Answer}
   * @param mayHaveBeenTaken whether the request may have had an effect
   * @param text why, in a sentence
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Failure(long correlation, boolean mayHaveBeenTaken, String text) implements Answer {

    /** Checks that nothing is missing. */
    public Failure {
      Objects.requireNonNull(text);
    }

    @Override
    public Failure withCorrelation(long number) {
      return new Failure(number, mayHaveBeenTaken, text);
    }
  }
}
