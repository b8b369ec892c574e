package org.hickorypier.core.model;

/**
 * One request or job as the scheduling decisions use it, without its payload.
 *
 * <p>Immutable. Times are in milliseconds of the instance's monotonic clock.
 *
 * @param key the identity of the work
 * @param workClass the class, which selects the policy
 * @param name the caller's name for this kind of work, under which its sizes are learned
 * @param resources the resources that each task declares
 * @param tasks the number of tasks, at least 1; more than 1 only for gangs, batches and services
 * @param idempotent whether the work may run again after an attempt with unknown outcome
 * @param submittedMillis when the instance accepted the work
 * @param deadlineMillis the latest start that is useful to the caller
 * @param expectedRunMillis the declared run time of a task
 * @param firstTriedMillis when its caller first requested it, as far as known; queues are ordered
 *     by this time, so that a caller that has to retry does not go to the end of the queue
 */
public record WorkItem(
    WorkKey key,
    WorkClass workClass,
    String name,
    Resources resources,
    int tasks,
    boolean idempotent,
    long submittedMillis,
    long deadlineMillis,
    long expectedRunMillis,
    long firstTriedMillis) {

  /**
   * Creates an item for the first request of its caller.
   *
   * @param key the identity of the work
   * @param workClass the class
   * @param name the caller's name for this kind of work
   * @param resources the resources that each task declares
   * @param tasks the number of tasks
   * @param idempotent whether the work may run again
   * @param submittedMillis when the instance accepted the work
   * @param deadlineMillis the latest start
   * @param expectedRunMillis the declared run time of a task
   */
  public WorkItem(
      WorkKey key,
      WorkClass workClass,
      String name,
      Resources resources,
      int tasks,
      boolean idempotent,
      long submittedMillis,
      long deadlineMillis,
      long expectedRunMillis) {
    this(
        key,
        workClass,
        name,
        resources,
        tasks,
        idempotent,
        submittedMillis,
        deadlineMillis,
        expectedRunMillis,
        submittedMillis);
  }

  /**
   * Returns a copy with another time of the first request.
   *
   * @param millis the time in milliseconds
   * @return the copy
   */
  public WorkItem withFirstTriedMillis(long millis) {
    return new WorkItem(
        key,
        workClass,
        name,
        resources,
        tasks,
        idempotent,
        submittedMillis,
        deadlineMillis,
        expectedRunMillis,
        millis);
  }
}
