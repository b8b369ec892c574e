/**
 * The scheduling logic of a cell's owner: its view of submissions, workers and customers, and the
 * orders that follow from it. It uses no sockets and no clocks: callers pass the times, and orders
 * go to {@link org.hickorypier.core.cell.CellOutput}.
 *
 * <p>All classes with state are confined to the control thread.
 */
package org.hickorypier.core.cell;
