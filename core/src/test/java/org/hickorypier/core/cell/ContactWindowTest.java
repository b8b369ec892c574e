package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Queue;
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

  /**
   * A control thread on a slow processor: it handles one event after another, each of which takes
   * time, and a timeout counts from the moment at which its call was begun.
   */
  private static final class SlowControlThread {

    private static final long OPEN_MILLIS = 30;
    private static final long READ_MILLIS = 15;
    private static final long TIMEOUT_MILLIS = 730;

    private final Queue<Runnable> events = new ArrayDeque<>();
    private long nowMillis;
    private int heard;
    private int missed;

    private void call(ContactWindow window) {
      long begunAt = nowMillis;
      nowMillis += OPEN_MILLIS;
      events.add(
          () -> {
            boolean inTime = nowMillis - begunAt < TIMEOUT_MILLIS;
            nowMillis += READ_MILLIS;
            heard += inTime ? 1 : 0;
            missed += inTime ? 0 : 1;
            if (inTime) {
              window.answered(nowMillis - begunAt);
            } else {
              window.unanswered();
            }
          });
    }

    private void hearAll(ContactWindow window) {
      for (int worker = 0; worker < WORKERS; worker++) {
        window.begin(() -> call(window));
      }
      while (!events.isEmpty()) {
        events.remove().run();
      }
    }
  }

  /** Failure: answers that wait unread on a slow processor count as missing, most at a time. */
  @Test
  void slowProcessorHearsWorkersInTime() {
    SlowControlThread windowed = new SlowControlThread();
    windowed.hearAll(new ContactWindow(WEAK_MACHINE));
    SlowControlThread allAtOnce = new SlowControlThread();
    allAtOnce.hearAll(new ContactWindow(WORKERS));
    assertThat(allAtOnce.missed).isGreaterThan(WORKERS / 2);
    assertThat(windowed.missed).isZero();
    assertThat(windowed.heard).isEqualTo(WORKERS);
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
        window.answered(3);
      }
      answered += underWay;
    }
    assertThat(begun).isEqualTo(WORKERS);
    assertThat(roundTrips).isLessThanOrEqualTo(5);
  }

  @Test
  void slowAnswersKeepTheWindowAsItIs() {
    ContactWindow window = windowWithAllWaiting(WEAK_MACHINE);
    int first = begun;
    for (int call = 0; call < first; call++) {
      window.answered(ContactWindow.QUICK_ANSWER_MILLIS + 1);
    }
    assertThat(begun).isEqualTo(2 * first);
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
      window.answered(3);
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
