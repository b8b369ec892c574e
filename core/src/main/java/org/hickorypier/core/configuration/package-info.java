/** The configuration, folded from the records of its stream. */
package org.hickorypier.core.configuration;
