/**
 * Decides which submissions are refused because they cannot be done while they are of use, in which
 * order refused callers return, and which refusals are certain. It uses no sockets and no clocks:
 * callers pass the times.
 */
package org.hickorypier.core.admission;
