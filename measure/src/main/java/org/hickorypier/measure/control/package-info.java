/** Measures what daemons spend on control, over separate processes, and fits slopes to it. */
package org.hickorypier.measure.control;
