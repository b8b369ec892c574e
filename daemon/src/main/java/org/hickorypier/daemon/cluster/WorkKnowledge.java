package org.hickorypier.daemon.cluster;

/** What an instance can say of work that another one asks after, from the least to the most. */
enum WorkKnowledge {
  /** Tasks of a lost instance are still being found; nothing can be said. */
  INCOMPLETE,
  /** Nothing of it runs there now; it may have run before. */
  NOT_RUNNING,
  /** It was not taken in there for as long as callers come back. */
  NEVER_TAKEN,
  /** It waits or runs there, or was answered there lately. */
  KNOWN
}
