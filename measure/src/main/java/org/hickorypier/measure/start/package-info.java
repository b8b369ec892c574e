/** Processor time and memory of an instance that starts, and of an idle one. */
package org.hickorypier.measure.start;
