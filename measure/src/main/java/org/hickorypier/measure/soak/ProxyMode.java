package org.hickorypier.measure.soak;

/** What a loopback proxy does to the bytes that pass. */
enum ProxyMode {
  /** All bytes pass at once. */
  PASS,
  /** All bytes pass, late. */
  DELAY,
  /** Open and new connections go silent, for good. */
  SILENT,
  /** Requests pass; answers are lost, on open and new connections, for good. */
  LOSE_ANSWERS,
  /** Open connections are reset and new ones refused. */
  REFUSE
}
