package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.hickorypier.core.model.WorkKey;

/** Says why a piece of work waits, wherever in the fleet it does. Called on the control thread. */
@FunctionalInterface
public interface WorkExplainer {

  /**
   * Explains.
   *
   * @param key the work
   * @return one sentence, or empty if no instance that answered knows the work
   */
  Uni<Optional<String>> explain(WorkKey key);
}
