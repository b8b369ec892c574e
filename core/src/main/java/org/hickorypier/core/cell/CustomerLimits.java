package org.hickorypier.core.cell;

import org.hickorypier.core.model.Resources;

/**
 * The configured limits of one customer that scheduling needs.
 *
 * <p>Immutable.
 *
 * @param name the customer's name
 * @param weight its share, in submissions per second
 * @param limit the most resources that its runs may use; 0 in a component means no limit
 */
public record CustomerLimits(String name, double weight, Resources limit) {}
