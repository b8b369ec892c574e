package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.WorkItem;

/**
 * A queued item that will not run.
 *
 * <p>Immutable.
 *
 * @param item the work item
 * @param refusal the final answer to its caller
 */
public record GivenUp(WorkItem item, Refusal refusal) {}
