package org.hickorypier.daemon.caller;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;

/**
 * A caller's request after its fields have been checked. The payload must not be changed.
 *
 * @param team the team named in the body, empty if none
 * @param requestId the caller's id for the work
 * @param workClass the class
 * @param name the caller's name for this sort of work
 * @param idempotent whether it may run again after an attempt with unknown fate
 * @param resources what each task declares
 * @param tasks the number of tasks
 * @param deadlineMillis the time until the latest useful start
 * @param runMillis the declared run time of a task
 * @param payload what the tasks are given
 */
public record CallerRequest(
    String team,
    String requestId,
    WorkClass workClass,
    String name,
    boolean idempotent,
    Resources resources,
    int tasks,
    long deadlineMillis,
    long runMillis,
    byte[] payload) {}
