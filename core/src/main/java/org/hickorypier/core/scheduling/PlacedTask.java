package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;

/**
 * A task with the worker it is placed on.
 *
 * <p>Immutable.
 *
 * @param taskId the task
 * @param worker the worker's name
 * @param workClass the class of the work
 * @param reserved the resources reserved for it on the worker
 */
public record PlacedTask(TaskId taskId, String worker, WorkClass workClass, Resources reserved) {}
