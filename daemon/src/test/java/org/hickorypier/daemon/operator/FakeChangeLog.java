package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.ConfigurationFold;
import org.hickorypier.core.fold.FoldedId;
import org.hickorypier.wire.record.ConfigurationRecord;

/** A configuration stream in memory that folds at once, with an outage on request. */
final class FakeChangeLog implements ChangeSubmitter {

  /** What happens to changes. */
  enum Mode {
    WORKS,
    TAKES_NOTHING,
    LOSES_ANSWERS
  }

  private final List<ConfigurationRecord> records = new ArrayList<>();
  private Configuration state = Configuration.EMPTY;
  private Mode mode = Mode.WORKS;

  Configuration state() {
    return state;
  }

  List<ConfigurationRecord> records() {
    return List.copyOf(records);
  }

  void mode(Mode next) {
    mode = next;
  }

  @Override
  public Uni<FoldedId> submit(ConfigurationRecord change) {
    if (mode == Mode.TAKES_NOTHING) {
      return Uni.createFrom().nothing();
    }
    state = ConfigurationFold.apply(state, records.size(), change).state();
    records.add(change);
    FoldedId folded = state.findFoldedId(change.id()).orElseThrow();
    return mode == Mode.WORKS ? Uni.createFrom().item(folded) : Uni.createFrom().nothing();
  }

  @Override
  public boolean takeBack(String id) {
    return mode == Mode.TAKES_NOTHING;
  }
}
