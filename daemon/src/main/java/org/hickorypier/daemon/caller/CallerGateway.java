package org.hickorypier.daemon.caller;

import io.smallrye.mutiny.Uni;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.work.WorkResult;

/**
 * What the HTTP interface for callers needs of the rest of the daemon. Safe to call from any
 * thread; the answers may arrive on any thread.
 */
public interface CallerGateway {

  /**
   * Runs a synchronous request and waits for its answer.
   *
   * @param presentedKey the key as it came
   * @param request the request
   * @return the final answer, or a {@link DeniedException}
   */
  Uni<WorkResult> run(String presentedKey, CallerRequest request);

  /**
   * Accepts a job durably.
   *
   * @param presentedKey the key as it came
   * @param request the job
   * @return where it stands once its record has been read back, or a {@link DeniedException}
   */
  Uni<JobView> accept(String presentedKey, CallerRequest request);

  /**
   * Asks after a job.
   *
   * @param presentedKey the key as it came
   * @param requestId the job's id within the key's team
   * @return where it stands, or a {@link DeniedException}
   */
  Uni<JobView> find(String presentedKey, String requestId);

  /**
   * Cancels a job. Idempotent.
   *
   * @param presentedKey the key as it came
   * @param requestId the job's id within the key's team
   * @return where it stands afterwards, or a {@link DeniedException}
   */
  Uni<JobView> cancel(String presentedKey, String requestId);

  /**
   * Where a job stands. Immutable.
   *
   * @param key the job
   * @param state accepted, running, completed, failed, cancelled or unknown
   * @param detail a sentence, empty if there is nothing to say
   * @param offset the offset at which it was accepted
   */
  record JobView(WorkKey key, String state, String detail, long offset) {}
}
