package org.hickorypier.core.cell;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class InFlightWindowTest {

  private static final int SUBMISSION_BYTES = 1_300;

  private static int taken(InFlightWindow window, int requests) {
    int taken = 0;
    for (int index = 0; index < requests; index++) {
      if (window.tryTake(SUBMISSION_BYTES)) {
        taken++;
      }
    }
    return taken;
  }

  /** Guards against instances that fill a slow link with the requests that wait for an owner. */
  @Test
  void fewSubmissionsAreInFlightOnSlowLink() {
    InFlightWindow window = new InFlightWindow(250_000);
    assertThat(taken(window, 60)).isEqualTo(3);
    window.release(SUBMISSION_BYTES);
    assertThat(taken(window, 60)).isEqualTo(1);
  }

  @Test
  void fastLinkTakesAllThatWaits() {
    assertThat(taken(new InFlightWindow(25_000_000), 300)).isEqualTo(300);
  }

  @Test
  void requestLargerThanTheWindowIsSentAlone() {
    InFlightWindow window = new InFlightWindow(1_000);
    assertThat(taken(window, 5)).isEqualTo(1);
  }
}
