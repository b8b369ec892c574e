package org.hickorypier.core.keys;

/** The status of a presented key. */
public enum KeyStatus {
  /** The key is in force. */
  VALID,
  /** The key was never issued, or its secret part is wrong. */
  UNKNOWN,
  /** The key was withdrawn. */
  WITHDRAWN
}
