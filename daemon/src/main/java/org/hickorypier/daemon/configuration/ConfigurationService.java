package org.hickorypier.daemon.configuration;

import io.smallrye.mutiny.Uni;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.ConfigurationFold;
import org.hickorypier.core.configuration.ConfigurationSnapshots;
import org.hickorypier.core.fold.FoldResult;
import org.hickorypier.core.fold.FoldedId;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.daemon.log.LogAppender;
import org.hickorypier.daemon.log.LogConsumer;
import org.hickorypier.daemon.log.LogFollower;
import org.hickorypier.daemon.operator.ChangeSubmitter;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.message.PeerMessage.ConfigurationPush;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.Snapshot;

/**
 * The configuration in force at this instance.
 *
 * <p>Belongs to the control thread. Invariant: its offset never falls, so it never reverts.
 */
public final class ConfigurationService
    implements LogConsumer<ConfigurationRecord>, ChangeSubmitter {

  private static final Logger LOGGER = System.getLogger(ConfigurationService.class.getName());
  private static final MessagePackCodec<ConfigurationRecord> CODEC =
      new MessagePackCodec<>(ConfigurationRecord.class);

  /** A peer that lacks more than these, some hours' worth, is sent a snapshot. */
  private static final int RECORDS_KEPT = 256;

  private final List<Consumer<Configuration>> listeners = new ArrayList<>();
  private final Deque<ConfigurationPush> kept = new ArrayDeque<>();
  private Configuration current = Configuration.EMPTY;
  private LongConsumer seek = offset -> {};
  private LogAppender<ConfigurationRecord> appender;

  /**
   * Sets where changes go. The appender must hear the follower after this service.
   *
   * @param log the appender of the configuration stream
   * @param follower the follower of the stream, to read again after a snapshot
   */
  public void connect(
      LogAppender<ConfigurationRecord> log, LogFollower<ConfigurationRecord> follower) {
    appender = log;
    seek = follower::seek;
  }

  /**
   * Adds a listener, which hears of every new state.
   *
   * @param listener the listener
   */
  public void subscribe(Consumer<Configuration> listener) {
    listeners.add(listener);
  }

  /**
   * Returns the configuration in force.
   *
   * @return an immutable state
   */
  public Configuration current() {
    return current;
  }

  @Override
  public Uni<FoldedId> submit(ConfigurationRecord change) {
    return appender.append(change).map(offset -> folded(change.id(), offset));
  }

  private FoldedId folded(String id, long offset) {
    return current.findFoldedId(id).orElseGet(() -> new FoldedId(id, offset, Verdict.APPLIED));
  }

  /**
   * Publishes a snapshot of the configuration in force.
   *
   * @param instance the instance that publishes it
   * @return the offset at which it was read back
   */
  public Uni<Long> publishSnapshot(String instance) {
    String id = "snapshot/" + instance + "/" + current.offset();
    return appender.append(ConfigurationSnapshots.toSnapshot(id, current));
  }

  @Override
  public boolean takeBack(String id) {
    return appender.withdraw(id);
  }

  @Override
  public void onRecord(long offset, ConfigurationRecord change) {
    FoldResult<Configuration> result = ConfigurationFold.apply(current, offset, change);
    if (result.verdict() == Verdict.CONFLICT || result.verdict() == Verdict.GAP) {
      LOGGER.log(Level.INFO, "configuration: offset {0}: {1}", offset, result.reason());
    }
    if (result.state().offset() == offset) {
      keep(new ConfigurationPush(offset, CODEC.encode(change)));
    }
    take(result.state());
    if (change instanceof Snapshot && result.verdict() == Verdict.APPLIED) {
      // Changes whose records are in the snapshot will not be read back one by one.
      appender.settleFrom(this::foldedAt);
      // The state is that of the snapshot's contents; what came after them has to be read again.
      seek.accept(current.offset() + 1);
    }
  }

  /**
   * Takes in what a peer passes on. Old, repeated or foreign records change nothing.
   *
   * @param push the record
   */
  public void onPush(ConfigurationPush push) {
    try {
      ConfigurationRecord change = CODEC.decode(push.data());
      if (change instanceof Snapshot snapshot) {
        take(ConfigurationFold.adoptSnapshot(current, snapshot).state());
        appender.settleFrom(this::foldedAt);
      } else {
        onRecord(push.offset(), change);
      }
    } catch (UndecodableException error) {
      LOGGER.log(
          Level.WARNING,
          "configuration: a peer passed on offset {0}, which cannot be read: {1}",
          push.offset(),
          error.getMessage());
    }
  }

  /**
   * Returns what an instance lacks that has folded less than this one.
   *
   * @param itsOffset the offset that it has folded
   * @return the records it lacks, or a snapshot if they are no longer at hand
   */
  public List<ConfigurationPush> lackedBy(long itsOffset) {
    if (itsOffset >= current.offset()) {
      return List.of();
    }
    List<ConfigurationPush> records =
        kept.stream().filter(push -> push.offset() > itsOffset).toList();
    if (records.size() == current.offset() - itsOffset) {
      return records;
    }
    Snapshot snapshot = ConfigurationSnapshots.toSnapshot("push/" + current.offset(), current);
    return List.of(new ConfigurationPush(current.offset(), CODEC.encode(snapshot)));
  }

  private OptionalLong foldedAt(String id) {
    return current
        .findFoldedId(id)
        .map(found -> OptionalLong.of(found.offset()))
        .orElseGet(OptionalLong::empty);
  }

  private void keep(ConfigurationPush push) {
    kept.addLast(push);
    if (kept.size() > RECORDS_KEPT) {
      kept.removeFirst();
    }
  }

  @Override
  public void onUnreadable(long offset, byte[] data, UndecodableException reason) {
    LOGGER.log(
        Level.WARNING,
        "configuration: offset {0} cannot be read, passed over: {1}",
        offset,
        reason.getMessage());
    take(ConfigurationFold.skipUnreadable(current, offset).state());
  }

  private void take(Configuration next) {
    if (next.offset() > current.offset()) {
      current = next;
      listeners.forEach(listener -> listener.accept(next));
    }
  }
}
