/** A randomized soak: real instances as processes, disturbed from outside, promises checked. */
package org.hickorypier.measure.soak;
