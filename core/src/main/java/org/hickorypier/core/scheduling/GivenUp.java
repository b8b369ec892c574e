package org.hickorypier.core.scheduling;

import org.hickorypier.core.model.Refusal;
import org.hickorypier.core.model.WorkItem;

/**
 * A queued item that will not run.
 *
 * <p>Immutable.
 *
 * @param item the work
 * @param refusal the final answer
 */
public record GivenUp(WorkItem item, Refusal refusal) {}
