package org.hickorypier.core.admission;

/**
 * Tasks of one queue and customer with the same place in the order of placing, running or ready.
 *
 * <p>Immutable.
 *
 * @param service the service whose workers run the tasks
 * @param customer the customer, or empty
 * @param requires the label that a worker must have, or empty
 * @param place the place in the order; of the last task if they differ
 * @param running whether the tasks are on workers already
 * @param unit the largest unit of the group
 * @param usefulUntilMillis the latest time at which one of the tasks may start and still be of use
 * @param capacityPart the largest part of the service's capacity that the tasks may use, up to 1
 * @param runMillis expected run time of a task in milliseconds, at least 1
 * @param coreMillis expected remaining work, in thousandths of a processor times milliseconds
 * @param memoryMillis expected remaining use of memory, in MiB times milliseconds
 */
public record WorkGroup(
    String service,
    String customer,
    String requires,
    Place place,
    boolean running,
    WorkUnit unit,
    long usefulUntilMillis,
    double capacityPart,
    long runMillis,
    double coreMillis,
    double memoryMillis) {}
