package org.hickorypier.daemon.peer;

/**
 * One run of one entry instance.
 *
 * <p>Immutable. A restarted instance keeps its name and is a new incarnation.
 *
 * @param name the instance's name
 * @param incarnation the number of its run, higher than those before
 */
public record PeerIdentity(String name, long incarnation) {

  @Override
  public String toString() {
    return name + "#" + incarnation;
  }
}
