package org.hickorypier.standins.worker;

import org.hickorypier.platform.worker.TaskStatus;

/**
 * What became of an accepted start order.
 *
 * <p>Immutable.
 *
 * @param status the task's status
 * @param created false if the task id was known already
 */
public record StartResult(TaskStatus status, boolean created) {}
