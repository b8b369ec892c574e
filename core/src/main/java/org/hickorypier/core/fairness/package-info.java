/** Decides which customers have had more than their share of a cell under contention. */
package org.hickorypier.core.fairness;
