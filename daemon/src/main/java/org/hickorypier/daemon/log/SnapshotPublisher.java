package org.hickorypier.daemon.log;

import io.smallrye.mutiny.Uni;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hickorypier.core.fold.SnapshotPolicy;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.wire.UndecodableException;

/**
 * Publishes snapshots of one stream's state when they are due.
 *
 * <p>For the control thread. Subscribe it to the follower of the stream. Invariants: one snapshot
 * is under way at a time; none is published of a state that is not whole.
 *
 * @param <T> the family of records
 */
public final class SnapshotPublisher<T> implements LogConsumer<T> {

  private static final Logger LOGGER = System.getLogger(SnapshotPublisher.class.getName());

  /** Snapshots are due at minutes' distance; a few seconds more do no harm. */
  private static final Duration CHECK_PERIOD = Duration.ofSeconds(5);

  private final SnapshotPolicy policy;
  private final TimerService timers;
  private final Predicate<T> isSnapshot;
  private final BooleanSupplier isWhole;
  private final IntSupplier turn;
  private final Supplier<Uni<Long>> publish;
  private long lastMillis;
  private long recordsSince;
  private boolean underWay;

  /**
   * Creates a publisher.
   *
   * @param policy when a snapshot is due
   * @param timers the time
   * @param isSnapshot tells snapshots from other records
   * @param isWhole tells whether the state is whole
   * @param turn returns this instance's place among the live ones by name, from 0
   * @param publish appends a snapshot of the state
   */
  public SnapshotPublisher(
      SnapshotPolicy policy,
      TimerService timers,
      Predicate<T> isSnapshot,
      BooleanSupplier isWhole,
      IntSupplier turn,
      Supplier<Uni<Long>> publish) {
    this.policy = policy;
    this.timers = timers;
    this.isSnapshot = isSnapshot;
    this.isWhole = isWhole;
    this.turn = turn;
    this.publish = publish;
  }

  /** Starts to watch. */
  public void start() {
    lastMillis = timers.nowMillis();
    timers.every(CHECK_PERIOD, this::check);
  }

  @Override
  public void onRecord(long offset, T record) {
    if (isSnapshot.test(record)) {
      lastMillis = timers.nowMillis();
      recordsSince = 0;
    } else {
      recordsSince++;
    }
  }

  @Override
  public void onUnreadable(long offset, byte[] data, UndecodableException reason) {
    recordsSince++;
  }

  private void check() {
    long millisSince = timers.nowMillis() - lastMillis;
    if (underWay
        || !isWhole.getAsBoolean()
        || !policy.isDue(millisSince, recordsSince, turn.getAsInt())) {
      return;
    }
    underWay = true;
    publish
        .get()
        .subscribe()
        .with(offset -> underWay = false, error -> onFailure(error.getMessage()));
  }

  private void onFailure(String message) {
    underWay = false;
    LOGGER.log(Level.WARNING, "log: snapshot not published; {0}", message);
  }
}
