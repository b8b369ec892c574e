package org.hickorypier.daemon.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorypier.wire.message.PeerMessage.Answer;

/**
 * What one incarnation of a peer has asked and was answered.
 *
 * <p>Failure it is for: a link dies with requests on it, and the peer sends them again on the next.
 * Without this memory such a request would be acted on twice. An answer is kept until the peer says
 * that the request is settled, so the memory needs no guess about how late a repetition may come. A
 * settled request never comes again: a link carries it once, the next link carries only open ones,
 * and what a replaced link still delivers is not read.
 *
 * <p>Invariant: no more than {@link #MAX_REMEMBERED} requests and {@link #MAX_BYTES} of answers.
 * Not thread safe.
 */
final class AnswerMemory {

  /** A correct peer has no more open, and those it settled in the last second. */
  static final int MAX_REMEMBERED = 4 * OpenRequestTable.MAX_OPEN;

  /** Answers kept for one peer; see {@link Outbox#MAX_BYTES}. */
  static final int MAX_BYTES = Outbox.MAX_BYTES;

  private final Map<Long, Optional<KeptAnswer>> requests = new HashMap<>();
  private long bytes;

  /** What a request is to this memory. */
  enum Seen {
    /** It was not here before and is to be acted on. */
    NEW,
    /** It is being acted on; its answer will come. */
    RUNNING,
    /** It was answered; {@link #answer} has it. */
    ANSWERED,
    /** Its sender has more open than a correct peer may. */
    TOO_MANY
  }

  /** Takes in a request. */
  Seen begin(long correlation) {
    Optional<KeptAnswer> known = requests.get(correlation);
    if (known != null) {
      return known.isPresent() ? Seen.ANSWERED : Seen.RUNNING;
    }
    if (requests.size() >= MAX_REMEMBERED) {
      return Seen.TOO_MANY;
    }
    requests.put(correlation, Optional.empty());
    return Seen.NEW;
  }

  /** Returns whether an answer of this length can be kept. */
  boolean hasRoom(int length) {
    return bytes + length <= MAX_BYTES;
  }

  /**
   * Keeps the answer to a request.
   *
   * @return false if nobody waits for it any longer
   */
  boolean keep(Answer answer, int length) {
    Optional<KeptAnswer> known = requests.get(answer.correlation());
    if (known == null || known.isPresent()) {
      return false;
    }
    requests.put(answer.correlation(), Optional.of(new KeptAnswer(answer, length)));
    bytes += length;
    return true;
  }

  /** Returns the kept answer to a request, empty if there is none. */
  Optional<Answer> answer(long correlation) {
    return requests.getOrDefault(correlation, Optional.empty()).map(KeptAnswer::answer);
  }

  /** Forgets requests that the peer has settled. */
  void settled(List<Long> correlations) {
    correlations.forEach(this::forget);
  }

  /** Forgets all requests but those that are still open. */
  void onlyOpen(List<Long> correlations) {
    Set<Long> open = new HashSet<>(correlations);
    List<Long> gone = requests.keySet().stream().filter(known -> !open.contains(known)).toList();
    settled(gone);
  }

  private void forget(long correlation) {
    Optional<KeptAnswer> kept = requests.remove(correlation);
    if (kept != null && kept.isPresent()) {
      bytes -= kept.get().length();
    }
  }

  private record KeptAnswer(Answer answer, int length) {}
}
