package org.hickorypier.daemon.owner;

import java.nio.charset.StandardCharsets;
import org.hickorypier.daemon.link.LinkRequest;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.wire.UndecodableException;

/**
 * The owner of the cell, as stored in the journal and the directory.
 *
 * <p>Immutable.
 *
 * @param epoch the owner's epoch, from which its fencing tokens at the workers follow
 * @param address the address at which other instances reach the owner
 * @param strength what the owner's machine can carry
 */
public record OwnerRecord(int epoch, String address, Strength strength) {

  /** The record while the cell has had no owner yet. */
  public static final OwnerRecord NONE = new OwnerRecord(0, "", Strength.UNKNOWN);

  /**
   * Returns the message that tells other instances of this owner.
   *
   * @return the message
   */
  public LinkRequest.FollowOwner toMessage() {
    return new LinkRequest.FollowOwner(epoch, address, strength.score());
  }

  /**
   * Returns the owner that a message tells of.
   *
   * @param message the message
   * @return the owner
   */
  public static OwnerRecord of(LinkRequest.FollowOwner message) {
    return new OwnerRecord(message.epoch(), message.address(), new Strength(message.strength()));
  }

  byte[] encode() {
    return (epoch + " " + address + " " + strength.score()).getBytes(StandardCharsets.UTF_8);
  }

  static OwnerRecord decode(byte[] value) throws UndecodableException {
    String[] parts = new String(value, StandardCharsets.UTF_8).split(" ");
    try {
      Strength strength =
          parts.length > 2 ? new Strength(Integer.parseInt(parts[2])) : Strength.UNKNOWN;
      int epoch = Integer.parseInt(parts[0]);
      if (epoch < 1) {
        throw new UndecodableException("epoch is " + epoch + "; allowed are those from 1", null);
      }
      return new OwnerRecord(epoch, ServiceAddress.parse(parts[1]).toString(), strength);
    } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException error) {
      throw new UndecodableException("malformed owner record", error);
    }
  }
}
