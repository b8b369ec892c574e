package org.hickorypier.daemon.peer;

import java.time.Duration;

/**
 * The settings of the links between instances.
 *
 * <p>Immutable; the secret is not to be changed after it was handed over and is not printed.
 *
 * @param own this instance's name and incarnation
 * @param host the address to listen on
 * @param port the port to listen on, 0 for any
 * @param secret the secret that all instances share, at least {@link #LEAST_SECRET_BYTES} long
 * @param heartbeat a link on which nothing was sent for this long gets a heartbeat
 * @param silence a link on which nothing was heard for this long is closed
 */
public record PeerSettings(
    PeerIdentity own, String host, int port, byte[] secret, Duration heartbeat, Duration silence) {

  /** The default period of heartbeats: the digest's, so that a link with digests needs none. */
  public static final Duration DEFAULT_HEARTBEAT = Duration.ofSeconds(1);

  /**
   * The default limit of silence. Two lost or late heartbeats in a row are no silence, and a dead
   * peer is known well before a withdrawn key has to be dead.
   */
  public static final Duration DEFAULT_SILENCE = Duration.ofMillis(3_500);

  /** A shorter secret could be guessed. */
  public static final int LEAST_SECRET_BYTES = 16;

  private static final Duration LONGEST_TICK = Duration.ofMillis(250);
  private static final int HEARTBEATS_IN_SILENCE = 3;

  /** Checks the secret's length, and that the silence spans several heartbeats. */
  public PeerSettings {
    if (secret.length < LEAST_SECRET_BYTES) {
      throw new IllegalArgumentException(
          "the peers' secret needs at least " + LEAST_SECRET_BYTES + " bytes");
    }
    if (silence.compareTo(heartbeat.multipliedBy(HEARTBEATS_IN_SILENCE)) < 0) {
      throw new IllegalArgumentException(
          "a silence of " + silence + " needs a heartbeat of a third or less, not " + heartbeat);
    }
  }

  /**
   * Creates settings with the default times.
   *
   * @param own this instance's name and incarnation
   * @param host the address to listen on
   * @param port the port to listen on, 0 for any
   * @param secret the secret that all instances share
   */
  public PeerSettings(PeerIdentity own, String host, int port, byte[] secret) {
    this(own, host, port, secret, DEFAULT_HEARTBEAT, DEFAULT_SILENCE);
  }

  /**
   * Returns how often deadlines, heartbeats, silence and dials are looked at. With short heartbeats
   * it has to be shorter too, or they would be sent late and live links closed as silent.
   *
   * @return the period
   */
  Duration tick() {
    Duration half = heartbeat.dividedBy(2);
    return half.compareTo(LONGEST_TICK) < 0 ? half : LONGEST_TICK;
  }

  @Override
  public String toString() {
    return "PeerSettings[" + own + ", " + host + ":" + port + "]";
  }
}
