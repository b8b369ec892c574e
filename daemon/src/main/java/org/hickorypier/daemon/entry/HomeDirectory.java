package org.hickorypier.daemon.entry;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;

/** Finds the instance at which a piece of work is decided. Called on the control thread. */
public interface HomeDirectory {

  /**
   * Returns the other instance which is home of the work.
   *
   * @param key the work
   * @return the instance's name, or empty if this instance is the home
   */
  Optional<String> remoteHome(WorkKey key);

  /**
   * Hands the work to its home.
   *
   * @param home the home's name
   * @param submission the work
   * @return the final answer; a failure if the home could not be asked
   */
  Uni<WorkResult> forward(String home, Submission submission);
}
