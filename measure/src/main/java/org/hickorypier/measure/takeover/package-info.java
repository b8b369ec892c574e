/** Measures what callers and workers see while instances are killed and paused under load. */
package org.hickorypier.measure.takeover;
