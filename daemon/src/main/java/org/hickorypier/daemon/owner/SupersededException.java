package org.hickorypier.daemon.owner;

/** Thrown when the journal names a newer owner than the one to be replaced. */
final class SupersededException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient OwnerRecord owner;

  SupersededException(OwnerRecord owner) {
    super(owner.address() + " has taken over with epoch " + owner.epoch());
    this.owner = owner;
  }

  OwnerRecord owner() {
    return owner;
  }
}
