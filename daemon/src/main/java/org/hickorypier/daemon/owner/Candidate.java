package org.hickorypier.daemon.owner;

/**
 * An instance that may own the cell.
 *
 * <p>Immutable.
 *
 * @param address the address at which other instances reach it
 * @param strength what its machine can carry
 */
public record Candidate(String address, Strength strength) {

  OwnerRecord toOwnerRecord(int epoch) {
    return new OwnerRecord(epoch, address, strength);
  }
}
