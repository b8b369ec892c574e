package org.hickorypier.daemon.log;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.log.LogEntry;
import org.hickorypier.platform.log.LogPage;
import org.hickorypier.platform.log.LogRange;
import org.hickorypier.platform.log.LogService;
import org.hickorypier.platform.log.LogServiceException;
import org.hickorypier.platform.log.OffsetExpiredException;

/** A log in memory with long polls on manual time, and faults on demand. Not thread safe. */
final class FakeLogService implements LogService {

  /** What goes wrong with one append. */
  enum AppendFault {
    NONE,
    /** Nothing is appended, and the caller gets an error. */
    REFUSED,
    /** The records are appended, but the caller gets an error. */
    ERROR_THOUGH_APPENDED,
    /** Nothing is appended, and no answer ever comes. */
    SILENT,
    /** The records are appended, but no answer ever comes. */
    SILENT_THOUGH_APPENDED,
    /** The caller gets an offset, but the log forgets the records. */
    ACKNOWLEDGED_THEN_LOST
  }

  private static final Set<AppendFault> APPENDING =
      EnumSet.of(
          AppendFault.NONE, AppendFault.ERROR_THOUGH_APPENDED, AppendFault.SILENT_THOUGH_APPENDED);

  private final TimerService timers;
  private final Map<String, List<byte[]>> streams = new HashMap<>();
  private final Map<String, Integer> oldest = new HashMap<>();
  private final List<Poll> polls = new ArrayList<>();
  private final Deque<AppendFault> faults = new ArrayDeque<>();
  private boolean down;
  private boolean silent;
  private Duration lag = Duration.ZERO;
  private int appendCalls;
  private int readCalls;
  private int largestBatch;

  FakeLogService(TimerService timers) {
    this.timers = timers;
  }

  void failNextAppend(AppendFault fault) {
    faults.add(fault);
  }

  /** While down, every call is answered by an error and open polls end with one. */
  void setDown(boolean down) {
    this.down = down;
    if (down) {
      List<Poll> open = List.copyOf(polls);
      polls.clear();
      open.forEach(poll -> poll.emitter.fail(error("connection reset")));
    }
  }

  /** While silent, reads get no answer at all, and open polls are forgotten. */
  void setSilent(boolean silent) {
    this.silent = silent;
    if (silent) {
      polls.clear();
    }
  }

  /** Has reads with nothing to return answered later than they ask for. */
  void setLag(Duration lag) {
    this.lag = lag;
  }

  void expireBefore(String stream, int offset) {
    oldest.put(stream, offset);
  }

  /** Puts bytes into a stream as some other instance would. */
  long put(String stream, byte[] data) {
    List<byte[]> records = records(stream);
    records.add(data);
    answerPolls();
    return records.size() - 1;
  }

  int size(String stream) {
    return records(stream).size();
  }

  int appendCalls() {
    return appendCalls;
  }

  int readCalls() {
    return readCalls;
  }

  int largestBatch() {
    return largestBatch;
  }

  @Override
  public Uni<Long> append(String stream, List<byte[]> batch) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              appendCalls++;
              largestBatch = Math.max(largestBatch, batch.size());
              if (down) {
                emitter.fail(error("connection refused"));
                return;
              }
              AppendFault fault = faults.isEmpty() ? AppendFault.NONE : faults.poll();
              answerAppend(stream, batch, fault, emitter);
            });
  }

  private void answerAppend(
      String stream, List<byte[]> batch, AppendFault fault, UniEmitter<? super Long> emitter) {
    long first = size(stream);
    if (APPENDING.contains(fault)) {
      records(stream).addAll(batch);
    }
    switch (fault) {
      case NONE, ACKNOWLEDGED_THEN_LOST -> emitter.complete(first);
      case REFUSED, ERROR_THOUGH_APPENDED -> emitter.fail(error("500"));
      default -> {
        // No answer.
      }
    }
    answerPolls();
  }

  @Override
  public Uni<LogPage> read(String stream, long from, int limit, Duration wait) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              readCalls++;
              if (down) {
                emitter.fail(error("connection refused"));
                return;
              }
              if (silent) {
                return;
              }
              Poll poll = new Poll(stream, from, limit, emitter);
              polls.add(poll);
              timers.after(wait.plus(lag), () -> answer(poll, true));
              answer(poll, false);
            });
  }

  @Override
  public Uni<LogRange> range(String stream) {
    return Uni.createFrom().item(() -> new LogRange(oldest.getOrDefault(stream, 0), size(stream)));
  }

  private void answerPolls() {
    List.copyOf(polls).forEach(poll -> answer(poll, false));
  }

  private void answer(Poll poll, boolean evenIfEmpty) {
    if (!polls.contains(poll)) {
      return;
    }
    int first = oldest.getOrDefault(poll.stream, 0);
    List<byte[]> records = records(poll.stream);
    if (poll.from < first) {
      polls.remove(poll);
      poll.emitter.fail(new OffsetExpiredException(poll.stream, poll.from, first));
      return;
    }
    List<LogEntry> found = new ArrayList<>();
    for (long at = poll.from; at < records.size() && found.size() < poll.limit; at++) {
      found.add(new LogEntry(at, records.get((int) at)));
    }
    if (!found.isEmpty() || evenIfEmpty) {
      polls.remove(poll);
      poll.emitter.complete(new LogPage(found, Math.min(poll.from, records.size()) + found.size()));
    }
  }

  private List<byte[]> records(String stream) {
    return streams.computeIfAbsent(stream, name -> new ArrayList<>());
  }

  private static LogServiceException error(String message) {
    return new LogServiceException(message, null);
  }

  private record Poll(String stream, long from, int limit, UniEmitter<? super LogPage> emitter) {}
}
