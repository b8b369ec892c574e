package org.hickorypier.core.cell;

/** What may be done with a task, or a gang, some of whose runs were lost with their workers. */
enum CrashVerdict {

  /** It may start beside other work. */
  START,

  /** It may start on a worker where nothing else runs. */
  START_ALONE,

  /** It may not start until more is known of its lost runs. */
  WAIT,

  /** It crashes the workers that start it. */
  GIVE_UP
}
