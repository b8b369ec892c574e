package org.hickorypier.wire.message;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A {@link TeamUse} with a number in place of the team's name.
 *
 * <p>Immutable.
 *
 * @param team the team's number on the link, in the order in which names were sent, from 0
 * @param running its running tasks
 * @param waiting its waiting tasks
 * @param milliProcessors thousandths of processors reserved for it
 * @param memoryMebibytes MiB reserved for it
 * @param accelerators accelerators reserved for it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record NumberedUse(
    int team,
    int running,
    int waiting,
    long milliProcessors,
    long memoryMebibytes,
    int accelerators) {}
