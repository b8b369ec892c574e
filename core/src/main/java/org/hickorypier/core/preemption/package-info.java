/**
 * The decision which running work makes room for a more urgent step that would miss its objective.
 * Inputs and outputs are immutable; the package knows no sockets, clocks or scheduling state.
 */
package org.hickorypier.core.preemption;
