package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ContactWindowTest {

  private static final int WORKERS = 106;
  private static final double WEAK_MACHINE = 0.12;

  private int begun;

  private ContactWindow windowWithAllWaiting(double processors) {
    ContactWindow window = new ContactWindow(processors);
    for (int worker = 0; worker < WORKERS; worker++) {
      window.begin(() -> begun++);
    }
    return window;
  }

  /** Failure: a new owner on a weak machine calls all workers at once and hears none in time. */
  @Test
  void weakMachineCallsFewWorkersAtOnce() {
    windowWithAllWaiting(WEAK_MACHINE);
    assertThat(begun).isBetween(4, 16);
  }

  @Test
  void answersOpenTheWindowUntilAllAreCalled() {
    ContactWindow window = windowWithAllWaiting(WEAK_MACHINE);
    int roundTrips = 0;
    int answered = 0;
    while (answered < WORKERS) {
      roundTrips++;
      int underWay = begun - answered;
      for (int answer = 0; answer < underWay; answer++) {
        window.answered();
      }
      answered += underWay;
    }
    assertThat(begun).isEqualTo(WORKERS);
    assertThat(roundTrips).isLessThanOrEqualTo(5);
  }

  @Test
  void missingAnswersMakeRoomForTheNextCalls() {
    ContactWindow window = windowWithAllWaiting(WEAK_MACHINE);
    int first = begun;
    for (int call = 0; call < first; call++) {
      window.unanswered();
    }
    assertThat(begun).isEqualTo(2 * first);
  }

  @Test
  void windowNarrowsWithMissingAnswers() {
    ContactWindow window = windowWithAllWaiting(WEAK_MACHINE);
    int first = begun;
    for (int call = 0; call < first; call++) {
      window.answered();
    }
    int second = begun - first;
    window.unanswered();
    window.unanswered();
    assertThat(second).isEqualTo(2 * first);
    assertThat(begun).isEqualTo(first + second);
  }

  @Test
  void strongMachineCallsAlmostAllAtOnce() {
    windowWithAllWaiting(1.5);
    assertThat(begun).isEqualTo(WORKERS);
  }
}
