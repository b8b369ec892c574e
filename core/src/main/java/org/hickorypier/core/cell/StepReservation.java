package org.hickorypier.core.cell;

import java.util.Map;
import org.hickorypier.core.model.Resources;

/**
 * Room set aside for a step while the advisor is asked for new tickets. Without it, smaller work
 * takes the room during the call, and the tickets expire unused.
 *
 * <p>Immutable.
 *
 * @param rooms what is set aside, by worker
 * @param until when it ends by itself, on the owner's steady clock
 */
record StepReservation(Map<WorkerView, Resources> rooms, long until) {}
