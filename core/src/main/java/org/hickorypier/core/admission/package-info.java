/** Decides which submissions are refused, and which refusals are certain. */
package org.hickorypier.core.admission;
