package org.hickorypier.daemon.entry;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.work.Submission;
import org.hickorypier.daemon.work.WorkResult;

/**
 * Locates the home of a piece of work, the instance that decides on it, and forwards work to it.
 *
 * <p>Called on the control thread.
 */
public interface HomeDirectory {

  /**
   * Returns the home of the work if it is another instance.
   *
   * @param key the key of the work
   * @return the name of the home instance, or empty if this instance is the home
   */
  Optional<String> remoteHome(WorkKey key);

  /**
   * Forwards the work to its home.
   *
   * @param home the name of the home instance
   * @param submission the work
   * @return the final result, or a failure if the home could not be reached
   */
  Uni<WorkResult> forward(String home, Submission submission);
}
