package org.hickorypier.standins.worker;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/**
 * What a task on a stand-in worker does, as its payload says.
 *
 * <p>Immutable.
 *
 * @param runMillis how long it runs
 * @param answerBytes how long its answer is at least
 * @param fail whether it ends as failed
 * @param service whether it runs until it is stopped
 * @param usedMilliProcessors what it uses; 0 for what it reserved
 * @param usedMemoryMebibytes what it uses; 0 for what it reserved
 * @param echo whether the answer repeats the payload; not part of the payload
 */
record TaskWork(
    long runMillis,
    long answerBytes,
    boolean fail,
    boolean service,
    long usedMilliProcessors,
    long usedMemoryMebibytes,
    boolean echo) {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private static final TaskWork ECHO = new TaskWork(0, 0, false, false, 0, 0, true);

  private static final byte OBJECT = '{';

  /** Reads a payload; one that is not of the known form is echoed at once. */
  static TaskWork of(byte[] payload) {
    if (payload.length == 0 || payload[0] != OBJECT) {
      return ECHO;
    }
    try {
      return MAPPER.readValue(payload, TaskWork.class);
    } catch (IOException error) {
      return ECHO;
    }
  }

  TaskWork failingAtOnce() {
    return new TaskWork(0, 0, true, false, usedMilliProcessors, usedMemoryMebibytes, echo);
  }
}
