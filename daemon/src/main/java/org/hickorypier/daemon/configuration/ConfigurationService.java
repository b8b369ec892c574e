package org.hickorypier.daemon.configuration;

import io.smallrye.mutiny.Uni;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.ConfigurationFold;
import org.hickorypier.core.fold.FoldResult;
import org.hickorypier.core.fold.FoldedId;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.daemon.log.LogAppender;
import org.hickorypier.daemon.log.LogConsumer;
import org.hickorypier.daemon.operator.ChangeSubmitter;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.record.ConfigurationRecord;

/**
 * The configuration in force at this instance.
 *
 * <p>Belongs to the control thread. Invariant: its offset never falls, so it never reverts.
 */
public final class ConfigurationService
    implements LogConsumer<ConfigurationRecord>, ChangeSubmitter {

  private static final Logger LOGGER = System.getLogger(ConfigurationService.class.getName());

  private final List<Consumer<Configuration>> listeners = new ArrayList<>();
  private Configuration current = Configuration.EMPTY;
  private LogAppender<ConfigurationRecord> appender;

  /**
   * Sets where changes go. The appender must hear the follower after this service.
   *
   * @param log the appender of the configuration stream
   */
  public void appendTo(LogAppender<ConfigurationRecord> log) {
    appender = log;
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
    return current.verdictOf(id).orElseGet(() -> new FoldedId(id, offset, Verdict.APPLIED));
  }

  @Override
  public boolean takeBack(String id) {
    return appender.withdraw(id);
  }

  @Override
  public void onRecord(long offset, ConfigurationRecord change) {
    FoldResult<Configuration> result = ConfigurationFold.apply(current, offset, change);
    if (result.verdict() == Verdict.CONFLICT) {
      LOGGER.log(Level.INFO, "configuration: offset {0}: {1}", offset, result.sentence());
    }
    take(result.state());
  }

  @Override
  public void onUnreadable(long offset, byte[] data, UndecodableException reason) {
    LOGGER.log(
        Level.WARNING,
        "configuration: offset {0} cannot be read, passed over: {1}",
        offset,
        reason.getMessage());
    take(ConfigurationFold.passOver(current, offset).state());
  }

  private void take(Configuration next) {
    if (next.offset() > current.offset()) {
      current = next;
      listeners.forEach(listener -> listener.accept(next));
    }
  }
}
