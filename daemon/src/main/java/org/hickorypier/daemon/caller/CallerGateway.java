package org.hickorypier.daemon.caller;

import io.smallrye.mutiny.Uni;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.work.WorkResult;

/**
 * The services of the daemon that the HTTP interface for callers uses.
 *
 * <p>Thread-safe. Results may arrive on any thread.
 */
public interface CallerGateway {

  /**
   * Runs a synchronous request and waits for its result.
   *
   * @param presentedKey the API key as received, not yet verified
   * @param request the request
   * @return the final result, or a failure with a {@link DeniedException}
   */
  Uni<WorkResult> run(String presentedKey, CallerRequest request);

  /**
   * Accepts a job durably.
   *
   * @param presentedKey the API key as received, not yet verified
   * @param request the job
   * @return the state of the job once its record has been read back from the log, or a failure with
   *     a {@link DeniedException}
   */
  Uni<JobView> accept(String presentedKey, CallerRequest request);

  /**
   * Returns the state of a job.
   *
   * @param presentedKey the API key as received, not yet verified
   * @param requestId the id of the job, unique within the team of the key
   * @return the state of the job, or a failure with a {@link DeniedException}
   */
  Uni<JobView> find(String presentedKey, String requestId);

  /**
   * Cancels a job. Idempotent.
   *
   * @param presentedKey the API key as received, not yet verified
   * @param requestId the id of the job, unique within the team of the key
   * @return the state after the cancellation, or a failure with a {@link DeniedException}
   */
  Uni<JobView> cancel(String presentedKey, String requestId);

  /**
   * The state of a job. Immutable.
   *
   * @param key the key of the job
   * @param state accepted, running, completed, failed, cancelled or unknown
   * @param detail a sentence about the state, empty if there is none
   * @param offset the log offset at which the job was accepted
   */
  record JobView(WorkKey key, String state, String detail, long offset) {}
}
