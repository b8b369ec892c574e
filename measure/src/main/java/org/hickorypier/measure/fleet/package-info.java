/** A whole fleet of separate processes on one machine, for measurements and acceptance tests. */
package org.hickorypier.measure.fleet;
