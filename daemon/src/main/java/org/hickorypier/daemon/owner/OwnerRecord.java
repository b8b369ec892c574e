package org.hickorypier.daemon.owner;

import java.nio.charset.StandardCharsets;
import org.hickorypier.wire.UndecodableException;

/**
 * Who owns the cell.
 *
 * <p>Immutable.
 *
 * @param epoch the owner's epoch, also its fencing token at the workers
 * @param address where other instances reach it
 * @param strength what its machine can carry
 */
public record OwnerRecord(int epoch, String address, Strength strength) {

  /** Before any owner. */
  public static final OwnerRecord NONE = new OwnerRecord(0, "", Strength.UNKNOWN);

  byte[] encode() {
    return (epoch + " " + address + " " + strength.score()).getBytes(StandardCharsets.UTF_8);
  }

  static OwnerRecord decode(byte[] value) throws UndecodableException {
    String[] parts = new String(value, StandardCharsets.UTF_8).split(" ");
    try {
      Strength strength =
          parts.length > 2 ? new Strength(Integer.parseInt(parts[2])) : Strength.UNKNOWN;
      return new OwnerRecord(Integer.parseInt(parts[0]), parts[1], strength);
    } catch (NumberFormatException | ArrayIndexOutOfBoundsException error) {
      throw new UndecodableException("no owner record", error);
    }
  }
}
