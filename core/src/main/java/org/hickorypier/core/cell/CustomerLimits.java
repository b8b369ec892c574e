package org.hickorypier.core.cell;

import org.hickorypier.core.model.Resources;

/**
 * What the configuration says of one customer, as far as scheduling needs it.
 *
 * <p>Immutable.
 *
 * @param name the customer's name
 * @param weight submissions a second that are within its share
 * @param limit the most that it may have running; 0 in a component for no limit
 */
public record CustomerLimits(String name, double weight, Resources limit) {}
