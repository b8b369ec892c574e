package org.hickorypier.daemon.operator;

import org.hickorypier.wire.record.ConfigurationRecord;

/**
 * A change ready for the log. Immutable.
 *
 * @param record the record
 * @param subject what it changes, for messages
 * @param note what was done once it is accepted
 * @param secret the new key, empty if the change gives none
 */
record PlannedChange(ConfigurationRecord record, String subject, String note, String secret) {

  @Override
  public String toString() {
    return "PlannedChange[" + record.id() + ", " + subject + "]";
  }
}
