package org.hickorypier.core.fold;

/** What became of a record when it was folded. The same at every instance. */
public enum Verdict {
  /** The state is now as the record asks. */
  APPLIED,
  /** The offset or the id was folded before; nothing changed. */
  DUPLICATE,
  /** The record rests on something that is no longer so; nothing changed. */
  CONFLICT,
  /** The record makes no sense whatever the state; nothing changed. */
  INVALID,
  /** Records before this one are missing here; nothing changed and the offset is not folded. */
  GAP
}
