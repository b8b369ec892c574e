package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import org.hickorypier.core.fold.FoldedId;
import org.hickorypier.wire.record.ConfigurationRecord;

/** Brings changes of the configuration into the log. Called on the control thread. */
public interface ChangeSubmitter {

  /**
   * Appends a change and waits until it has been folded here. During an outage of the log that may
   * take as long as the outage.
   *
   * @param change the change
   * @return where it was folded, and what the fold made of it; for an id folded before, what the
   *     fold made of it then. It comes on the control thread.
   */
  Uni<FoldedId> submit(ConfigurationRecord change);

  /**
   * Takes a change back if it was never sent.
   *
   * @param id the id of the change
   * @return true if the change is not in the log and never will be
   */
  boolean takeBack(String id);
}
