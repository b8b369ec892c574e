package org.hickorypier.core.cell;

/**
 * The reservations of all steps.
 *
 * <p>Invariant: a step has at most one reservation, and none once it is not waiting any more; room
 * that stays reserved for an ended submission would be lost to the cell. Confined to the control
 * thread.
 */
final class Reservations {

  /** Reserves resources for a step that has no reservation. */
  void reserve(StepRun step, StepReservation reservation) {
    step.reservation = reservation;
    apply(reservation, 1);
  }

  /** Releases the reservation of a step, if it has one. */
  void release(StepRun step) {
    if (step.reservation != null) {
      apply(step.reservation, -1);
      step.reservation = null;
    }
  }

  private void apply(StepReservation reservation, int sign) {
    reservation.resources().forEach((worker, size) -> worker.reserve(size, sign));
  }
}
