package org.hickorypier.daemon.owner;

import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreClient;
import org.hickorypier.platform.store.StoreError;
import org.hickorypier.platform.store.StoreException;

/**
 * Takes the journal over.
 *
 * <p>The owner record is appended under a new epoch on the condition that the journal ends where
 * the candidate has read to. So the append fences the predecessor and shows in one step that the
 * candidate knows all that was written; of two candidates one succeeds.
 *
 * <p>The store answers a repeated append, one with the same epoch and sequence number, as it did
 * the first time. Two candidates with equal numbers would both be told that they had succeeded, and
 * two owners would order under one token. So each candidate begins at a number of its own.
 *
 * <p>A candidate replaces the owner that it has reason to replace, and no other: of several that
 * step in for one lost owner, one after another, the later ones would else replace each other.
 * Belongs to the control thread.
 */
final class Takeover {

  /** While the predecessor still writes, the end moves; after so many tries it is fenced first. */
  private static final int RETRIES_BEFORE_FENCE = 3;

  private static final int MAX_CLAIM_RETRIES = 12;

  /** Attempts at one claim: where a third of the answers is lost, one in 80 is not settled then. */
  private static final int MAX_APPEND_ATTEMPTS = 4;

  private final StoreClient store;
  private final EventLog log;
  private final Candidate candidate;
  private final long sequence;
  private final int replacedEpoch;
  private final BooleanSupplier stillWanted;
  private final Delay livenessDelay;
  private final AppendTimeout timeout = new AppendTimeout();
  private OwnerRecord predecessor;

  /**
   * Creates a takeover.
   *
   * @param candidate the instance that takes over
   * @param sequence the number to begin at; no other candidate may have the same
   * @param replacedEpoch the epoch of the owner to replace, or 0 if none is known
   * @param wanted tells, just before the claim, whether the cell is still to be taken over
   * @param signOfLife ends when an owner that lives would have written something, or null if it is
   *     known to be gone; if it has written meanwhile, the takeover is abandoned
   */
  Takeover(
      StoreClient store,
      EventLog log,
      Candidate candidate,
      long sequence,
      int replacedEpoch,
      BooleanSupplier wanted,
      Delay signOfLife) {
    this.store = store;
    this.log = log;
    this.candidate = candidate;
    this.sequence = sequence;
    this.replacedEpoch = replacedEpoch;
    this.stillWanted = wanted;
    this.livenessDelay = signOfLife;
  }

  /** Lets some time pass. */
  @FunctionalInterface
  interface Delay {

    /**
     * Begins the pause.
     *
     * @return done when it is over
     */
    Future<Void> start();
  }

  /**
   * The journal in the hands of its new owner.
   *
   * @param epoch the owner's epoch
   * @param sequence the number of the epoch's last append
   * @param values what the journal holds
   */
  record Result(int epoch, long sequence, Map<String, byte[]> values) {}

  Future<Result> run() {
    return store
        .readSnapshot(JournalKeys.TOPIC, JournalKeys.PARTITION)
        .compose(snapshot -> readToEnd(snapshot.from(), snapshot.values(), 0, 0));
  }

  private Future<Result> readToEnd(long from, Map<String, byte[]> values, int tries, int fenced) {
    return store
        .read(JournalKeys.TOPIC, JournalKeys.PARTITION, from, 0)
        .compose(
            page -> {
              for (KeyedRecord entry : page.records()) {
                values.put(entry.key(), entry.value());
              }
              long next = from + page.records().size();
              if (next < page.end()) {
                return readToEnd(next, values, tries, fenced);
              }
              return livenessDelay == null
                  ? claim(next, values, tries, fenced)
                  : livenessDelay.start().compose(over -> claim(next, values, tries, fenced));
            });
  }

  private Future<Result> claim(long end, Map<String, byte[]> values, int tries, int fenced) {
    OwnerRecord present = new JournalContents(values, log).owner();
    boolean newer = replacedEpoch > 0 && present.epoch() > replacedEpoch;
    if (newer || predecessor != null && !present.equals(predecessor)) {
      return Future.failedFuture(new SupersededException(present));
    }
    if (!stillWanted.getAsBoolean()) {
      return Future.failedFuture(new AbandonedException());
    }
    predecessor = present;
    int epoch = Math.max(present.epoch(), fenced) + 1;
    if (tries == RETRIES_BEFORE_FENCE) {
      return store
          .append(append(List.of(), OptionalLong.empty(), epoch, sequence))
          .compose(done -> readToEnd(end, values, tries + 1, epoch));
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
              return moved && tries < MAX_CLAIM_RETRIES
                  ? readToEnd(end, values, tries + 1, fenced)
                  : Future.failedFuture(error);
            });
  }

  /** Appends; one without an answer is repeated, since the store answers a repeat as the first. */
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
