/** Checks of what the scheduler promises, from what callers and workers see. */
package org.hickorypier.core.verification;
