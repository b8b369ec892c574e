package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.Snapshot;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.platform.store.StoreError;
import org.hickorypier.platform.store.StoreException;

/**
 * Takes the journal over.
 *
 * <p>The owner record is appended under a new epoch on the condition that the journal ends where
 * the candidate has read to. The append thus fences the predecessor and shows in one step that the
 * candidate knows all that was written; of two candidates one succeeds.
 *
 * <p>The store answers a repeated append, one with the same epoch and sequence number, as it did
 * the first time. Two candidates with equal numbers would both be told that they had succeeded, and
 * two owners would send orders under one fencing token. Each candidate therefore begins at a
 * sequence number of its own.
 *
 * <p>A candidate replaces only the owner that it has reason to replace: of several candidates for
 * one lost owner, the later ones would otherwise replace the earlier. Confined to the control
 * thread.
 */
final class Takeover {

  /**
   * While the predecessor still writes, the end of the journal moves and a claim fails. After this
   * many retries the predecessor is fenced first.
   */
  private static final int RETRIES_BEFORE_FENCE = 3;

  private static final int MAX_CLAIM_RETRIES = 12;

  /**
   * Attempts at one claim. Where a third of the answers is lost, one claim in 80 is still undecided
   * after the last.
   */
  private static final int MAX_APPEND_ATTEMPTS = 4;

  private final StoreClient store;
  private final EventLog log;
  private final Candidate candidate;
  private final long sequence;
  private final int replacedEpoch;
  private final BooleanSupplier stillWanted;
  private final Delay livenessDelay;
  private final Optional<Snapshot> start;
  private final AppendTimeout timeout = new AppendTimeout();
  private OwnerRecord predecessor;

  /**
   * Creates a takeover.
   *
   * @param candidate the instance that takes over
   * @param sequence the sequence number to begin at; no other candidate may have the same
   * @param replacedEpoch the epoch of the owner to replace, or 0 if none is known
   * @param stillWanted returns, just before the claim, whether the cell is still to be taken over
   * @param livenessDelay ends when a live owner would have written something; null if the owner
   *     need not be checked, as when it is known to be gone. If the owner has written meanwhile,
   *     the takeover is abandoned
   * @param start what this instance has read of the journal, if it stands by
   */
  Takeover(
      StoreClient store,
      EventLog log,
      Candidate candidate,
      long sequence,
      int replacedEpoch,
      BooleanSupplier stillWanted,
      Delay livenessDelay,
      Optional<Snapshot> start) {
    this.store = store;
    this.log = log;
    this.candidate = candidate;
    this.sequence = sequence;
    this.replacedEpoch = replacedEpoch;
    this.stillWanted = stillWanted;
    this.livenessDelay = livenessDelay;
    this.start = start;
  }

  /** A delay before the claim. */
  @FunctionalInterface
  interface Delay {

    /**
     * Starts the delay.
     *
     * @return completes when the delay is over
     */
    Future<Void> start();
  }

  /**
   * The outcome of a successful takeover.
   *
   * @param epoch the new owner's epoch
   * @param sequence the sequence number of the epoch's last append
   * @param values the newest value of each key in the journal
   */
  record Result(int epoch, long sequence, Map<String, byte[]> values) {}

  Future<Result> run() {
    return start
        .map(known -> readToEnd(known.from(), known.values(), 0, 0).recover(this::restartIfExpired))
        .orElseGet(this::readAll);
  }

  private Future<Result> readAll() {
    return store
        .readSnapshot(JournalKeys.TOPIC, JournalKeys.PARTITION)
        .compose(snapshot -> readToEnd(snapshot.from(), snapshot.values(), 0, 0));
  }

  private Future<Result> restartIfExpired(Throwable error) {
    return error instanceof StoreException failure && failure.error() == StoreError.EXPIRED
        ? readAll()
        : Future.failedFuture(error);
  }

  private Future<Result> readToEnd(
      long from, Map<String, byte[]> values, int retries, int fencedEpoch) {
    return store
        .read(JournalKeys.TOPIC, JournalKeys.PARTITION, from, 0)
        .compose(
            page -> {
              for (KeyedRecord entry : page.records()) {
                values.put(entry.key(), entry.value());
              }
              long next = from + page.records().size();
              if (next < page.end()) {
                return readToEnd(next, values, retries, fencedEpoch);
              }
              return livenessDelay == null
                  ? claim(next, values, retries, fencedEpoch)
                  : livenessDelay
                      .start()
                      .compose(delayed -> claim(next, values, retries, fencedEpoch));
            });
  }

  private Future<Result> claim(long end, Map<String, byte[]> values, int retries, int fencedEpoch) {
    OwnerRecord present = new JournalContents(values, log).owner();
    boolean newer = replacedEpoch > 0 && present.epoch() > replacedEpoch;
    if (newer || predecessor != null && !present.equals(predecessor)) {
      return Future.failedFuture(new SupersededException(present));
    }
    if (!stillWanted.getAsBoolean()) {
      return Future.failedFuture(new AbandonedException());
    }
    predecessor = present;
    int epoch = Math.max(present.epoch(), fencedEpoch) + 1;
    if (retries == RETRIES_BEFORE_FENCE) {
      return store
          .append(append(List.of(), OptionalLong.empty(), epoch, sequence))
          .compose(done -> readToEnd(end, values, retries + 1, epoch));
    }
    KeyedRecord owner = new KeyedRecord(JournalKeys.OWNER, candidate.toOwnerRecord(epoch).encode());
    return appendClaim(append(List.of(owner), OptionalLong.of(end), epoch, sequence), 1)
        .map(newEnd -> new Result(epoch, sequence, values))
        .recover(
            error -> {
              boolean moved =
                  error instanceof StoreException failure && failure.error() == StoreError.MOVED;
              if (moved && livenessDelay != null) {
                return Future.failedFuture(new AbandonedException());
              }
              return moved && retries < MAX_CLAIM_RETRIES
                  ? readToEnd(end, values, retries + 1, fencedEpoch)
                  : Future.failedFuture(error);
            });
  }

  /**
   * Appends a claim, and repeats it while no answer arrives, since the store answers a repeated
   * append as it did the first time.
   */
  private Future<Long> appendClaim(Append claim, int attempt) {
    return store
        .append(claim, timeout.timeoutMillis(attempt))
        .recover(
            error -> {
              boolean unknown =
                  error instanceof StoreException failure && failure.error() == StoreError.UNKNOWN;
              return unknown && attempt < MAX_APPEND_ATTEMPTS
                  ? appendClaim(claim, attempt + 1)
                  : Future.failedFuture(error);
            });
  }

  private static Append append(
      List<KeyedRecord> records, OptionalLong end, int epoch, long sequence) {
    return new Append(
        JournalKeys.TOPIC,
        JournalKeys.PARTITION,
        records,
        end,
        JournalKeys.PRODUCER,
        epoch,
        sequence);
  }
}
