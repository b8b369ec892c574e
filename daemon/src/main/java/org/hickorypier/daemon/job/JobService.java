package org.hickorypier.daemon.job;

import io.smallrye.mutiny.Uni;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.caller.CallerGateway.JobView;
import org.hickorypier.daemon.caller.DenialKind;
import org.hickorypier.daemon.caller.DeniedException;
import org.hickorypier.daemon.work.Submission;

/** Jobs; refused until the journal is wired. */
public final class JobService {

  /**
   * Accepts a job.
   *
   * @param submission the job
   * @return a failure
   */
  public Uni<JobView> accept(Submission submission) {
    return Uni.createFrom().failure(unavailable());
  }

  /**
   * Asks after a job.
   *
   * @param key the job
   * @return never
   * @throws DeniedException always
   */
  public JobView find(WorkKey key) throws DeniedException {
    throw unavailable();
  }

  /**
   * Cancels a job.
   *
   * @param key the job
   * @return a failure
   */
  public Uni<JobView> cancel(WorkKey key) {
    return Uni.createFrom().failure(unavailable());
  }

  private static DeniedException unavailable() {
    return new DeniedException(DenialKind.UNAVAILABLE, "jobs are not taken yet", 0);
  }
}
