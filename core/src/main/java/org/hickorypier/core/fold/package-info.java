/** Shared parts of the stream folds: outcomes, duplicate detection, readiness and snapshots. */
package org.hickorypier.core.fold;
