package org.hickorypier.daemon.cluster;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * What one instance answered to a question that was put to several. The bytes must not be changed.
 *
 * @param instance the instance's name
 * @param data its answer, or empty if it gave none in time
 */
public record PeerReply(String instance, Optional<byte[]> data) {

  /**
   * Returns the answer as text.
   *
   * @return the text, or empty if there was no answer
   */
  public Optional<String> text() {
    return data.map(bytes -> new String(bytes, StandardCharsets.UTF_8));
  }
}
