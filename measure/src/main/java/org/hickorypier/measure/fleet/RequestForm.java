package org.hickorypier.measure.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What a caller posts.
 *
 * <p>Immutable.
 *
 * @param requestId the caller's id
 * @param workClass the class
 * @param idempotent whether it may run again
 * @param processors declared processors
 * @param memoryMebibytes declared memory
 * @param tasks the number of tasks
 * @param deadlineMillis the time until the latest useful start
 * @param payload what the task does
 */
public record RequestForm(
    String requestId,
    @JsonProperty("class") String workClass,
    boolean idempotent,
    double processors,
    long memoryMebibytes,
    int tasks,
    long deadlineMillis,
    Payload payload) {

  private static final long DEADLINE_MILLIS = 10_000;

  /**
   * What a stand-in task does.
   *
   * @param runMillis how long it runs
   * @param answerBytes how long its answer is
   * @param service whether it runs until it is stopped
   */
  public record Payload(long runMillis, long answerBytes, boolean service) {}

  /**
   * Makes a synchronous request of one small task.
   *
   * @param requestId the caller's id
   * @param idempotent whether it may run again
   * @param runMillis how long it runs
   * @param answerBytes how long its answer is
   * @return the form
   */
  public static RequestForm request(
      String requestId, boolean idempotent, long runMillis, long answerBytes) {
    return new RequestForm(
        requestId,
        "request",
        idempotent,
        1,
        1_024,
        1,
        DEADLINE_MILLIS,
        new Payload(runMillis, answerBytes, false));
  }

  /**
   * Returns the same request with another deadline.
   *
   * @param millis the time until the latest useful start
   * @return the form
   */
  public RequestForm withDeadline(long millis) {
    return new RequestForm(
        requestId, workClass, idempotent, processors, memoryMebibytes, tasks, millis, payload);
  }

  /**
   * Makes a batch job.
   *
   * @param requestId the caller's id
   * @param tasks the number of tasks
   * @param runMillis how long each runs
   * @return the form
   */
  public static RequestForm batch(String requestId, int tasks, long runMillis) {
    return new RequestForm(
        requestId,
        "batch",
        true,
        1,
        1_024,
        tasks,
        DEADLINE_MILLIS,
        new Payload(runMillis, 0, false));
  }
}
