package org.hickorypier.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.hickorypier.wire.message.PeerMessage.Answer;
import org.hickorypier.wire.message.PeerMessage.Failure;
import org.hickorypier.wire.message.PeerMessage.Request;

/**
 * The requests to one peer that have no answer yet.
 *
 * <p>Invariants: a request leaves by its answer, by failure or by the caller's leave, and only
 * once; its correlation is never used again. Not thread safe.
 */
final class OpenRequestTable {

  /**
   * The most open requests to one peer. Their list fits into one frame, and more would mean that
   * the peer has stopped answering while its link lives.
   */
  static final int MAX_OPEN = 4_096;

  private final TreeMap<Long, Entry> entries = new TreeMap<>();
  private final List<Long> settled = new ArrayList<>();

  boolean isFull() {
    return entries.size() >= MAX_OPEN;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns whether the request has not been settled. */
  boolean isOpen(Request request) {
    return entries.containsKey(request.correlation());
  }

  /** Adds a request that has its correlation. */
  void add(Request request, long deadlineMillis, AnswerReceiver receiver) {
    entries.put(request.correlation(), new Entry(request, deadlineMillis, receiver));
  }

  /** Returns the open requests in the order in which they were made. */
  List<Request> open() {
    return entries.values().stream().map(entry -> entry.request).toList();
  }

  /** Notes that a request has left whole, so the peer may act on it from now on. */
  void written(Request request, long incarnation) {
    Entry entry = entries.get(request.correlation());
    if (entry != null) {
      entry.writtenTo = incarnation;
    }
  }

  /**
   * Settles a request by its answer.
   *
   * @return false if it was settled before; the answer is late or a duplicate
   */
  boolean answered(Answer answer) {
    Optional<Entry> entry = remove(answer.correlation());
    entry.ifPresent(open -> open.settle(answer));
    return entry.isPresent();
  }

  /** Takes out a request for which nobody waits any longer. */
  void leave(Request request) {
    remove(request.correlation());
  }

  /** Fails the requests of which the deadline has passed. */
  void expire(long now) {
    take(entry -> entry.deadlineMillis <= now, "no answer before the deadline").run();
  }

  /**
   * Takes out what was written to another incarnation of the peer; what was not can still go.
   *
   * @return tells the receivers, to be run once the new link is ready for what they do next
   */
  Runnable takeWrittenToOthers(long incarnation) {
    return take(
        entry -> entry.writtenTo != null && entry.writtenTo != incarnation,
        "the peer was restarted before it answered");
  }

  /** Fails all open requests. */
  void failAll(String message) {
    take(entry -> true, message).run();
  }

  /** Returns the requests settled since the last call. */
  List<Long> takeSettled() {
    List<Long> taken = List.copyOf(settled);
    settled.clear();
    return taken;
  }

  private Optional<Entry> remove(long correlation) {
    Entry entry = entries.remove(correlation);
    if (entry != null) {
      settled.add(correlation);
    }
    return Optional.ofNullable(entry);
  }

  private Runnable take(Predicate<Entry> condition, String message) {
    List<Entry> failing = entries.values().stream().filter(condition).toList();
    for (Entry entry : failing) {
      remove(entry.request.correlation());
    }
    return () -> failing.forEach(entry -> entry.fail(message));
  }

  private static final class Entry {
    private final Request request;
    private final long deadlineMillis;
    private final AnswerReceiver receiver;
    private Long writtenTo;

    Entry(Request request, long deadlineMillis, AnswerReceiver receiver) {
      this.request = request;
      this.deadlineMillis = deadlineMillis;
      this.receiver = receiver;
    }

    void settle(Answer answer) {
      if (answer instanceof Failure failure) {
        receiver.failed(new PeerException(failure.text(), failure.mayHaveBeenTaken()));
      } else {
        receiver.answered(answer);
      }
    }

    void fail(String message) {
      receiver.failed(new PeerException(message, writtenTo != null));
    }
  }
}
