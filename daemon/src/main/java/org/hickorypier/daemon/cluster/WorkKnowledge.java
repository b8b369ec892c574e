package org.hickorypier.daemon.cluster;

/** What an instance knows about work that another instance asks about, from least to most. */
enum WorkKnowledge {
  /** Tasks of a lost instance are still being located, so the state of the work is unknown. */
  INCOMPLETE,
  /** The work is not running at the instance, but may have run before. */
  NOT_RUNNING,
  /** The instance has not accepted the work within the period in which callers retry. */
  NEVER_TAKEN,
  /** The work is waiting or running at the instance, or was answered there recently. */
  KNOWN
}
