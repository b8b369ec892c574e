/** The configuration as folded from its stream. */
package org.hickorypier.core.configuration;
