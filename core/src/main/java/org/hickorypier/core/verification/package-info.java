/** Checks of the scheduler's guarantees, based on what callers and workers observe. */
package org.hickorypier.core.verification;
