package org.hickorypier.daemon.caller;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;

/**
 * A caller's request with validated fields. The payload array must not be modified.
 *
 * @param team the team named in the body, empty if none is named
 * @param requestId the id that the caller chose for the work
 * @param workClass the class of the work
 * @param name the caller's name for this type of work
 * @param idempotent whether the work may run again after an attempt with an unknown outcome
 * @param resources the resources that each task requires
 * @param tasks the number of tasks
 * @param deadlineMillis the time in milliseconds until the latest useful start
 * @param runMillis the declared run time of a task in milliseconds
 * @param payload the input of the tasks
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
