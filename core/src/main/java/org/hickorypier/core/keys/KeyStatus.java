package org.hickorypier.core.keys;

/** Whether a presented key opens anything. */
public enum KeyStatus {
  /** It is a key in force. */
  VALID,
  /** It is no key that was ever given, or its secret part is wrong. */
  UNKNOWN,
  /** It was withdrawn. */
  WITHDRAWN
}
