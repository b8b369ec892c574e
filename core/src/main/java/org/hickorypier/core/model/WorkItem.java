package org.hickorypier.core.model;

/**
 * One request or job as the decisions see it, without its payload.
 *
 * <p>Immutable. Times are milliseconds of the instance's own monotonic clock.
 *
 * @param key the identity of the work
 * @param workClass the class, which picks the policy
 * @param name the caller's name for this sort of work, under which sizes are learned
 * @param resources what each task declares
 * @param tasks the number of tasks, at least 1; more than 1 only for gangs, batches and services
 * @param idempotent whether the work may run again after an attempt with unknown fate
 * @param submittedMillis when the instance took the work in
 * @param deadlineMillis the latest start that is still of use to the caller
 * @param expectedRunMillis the declared run time of a task
 * @param firstTriedMillis when its caller first asked for it, as far as known; work is taken in
 *     this order, so that a caller who has to come back does not stand behind everybody else again
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
   * Creates an item whose caller asks for the first time.
   *
   * @param key the identity of the work
   * @param workClass the class
   * @param name the caller's name for this sort of work
   * @param resources what each task declares
   * @param tasks the number of tasks
   * @param idempotent whether the work may run again
   * @param submittedMillis when the instance took the work in
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
   * Returns the same item with another time of its first try.
   *
   * @param millis the time
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
