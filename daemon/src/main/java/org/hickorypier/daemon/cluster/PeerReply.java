package org.hickorypier.daemon.cluster;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The reply of one instance to a question that was sent to several. The bytes must not be modified.
 *
 * @param instance the instance's name
 * @param data the reply's bytes, or empty if the request failed or timed out
 */
public record PeerReply(String instance, Optional<byte[]> data) {

  /**
   * Decodes the reply as UTF-8 text.
   *
   * @return the text, or empty if there was no reply
   */
  public Optional<String> text() {
    return data.map(bytes -> new String(bytes, StandardCharsets.UTF_8));
  }
}
