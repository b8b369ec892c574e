package org.hickorypier.core.fold;

/** The outcome of folding a record, which is the same at every instance. */
public enum Verdict {
  /** The change of the record was applied to the state. */
  APPLIED,
  /** The offset, the id or a newer record was already folded; nothing changed. */
  DUPLICATE,
  /** A precondition of the record no longer holds; nothing changed. */
  CONFLICT,
  /** The record is invalid in any state; nothing changed. */
  INVALID,
  /** Earlier records are missing; nothing changed, and the offset is not folded. */
  GAP
}
