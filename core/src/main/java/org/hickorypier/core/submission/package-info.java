/** Immutable data of submissions: specification, progress and the settings of their queue. */
package org.hickorypier.core.submission;
