package org.hickorypier.measure.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.hickorypier.measure.control.LeastSquares.Point;
import org.junit.jupiter.api.Test;

class LeastSquaresTest {

  private static final double CLOSE = 1e-6;

  @Test
  void pointsOfOnePlaneHaveNoResidual() {
    LeastSquares plane =
        LeastSquares.fit(
            List.of(
                new Point(4, 30, 4 * 2 + 30 * 0.5 + 7),
                new Point(4, 300, 4 * 2 + 300 * 0.5 + 7),
                new Point(8, 30, 8 * 2 + 30 * 0.5 + 7),
                new Point(8, 300, 8 * 2 + 300 * 0.5 + 7)));

    assertThat(plane.base()).isCloseTo(7, within(CLOSE));
    assertThat(plane.first()).isCloseTo(2, within(CLOSE));
    assertThat(plane.second()).isCloseTo(0.5, within(CLOSE));
    assertThat(plane.residual()).isCloseTo(0, within(CLOSE));
  }

  @Test
  void residualIsTheLargestDistance() {
    // Opposite corners off by the same amount: no plane comes nearer than one everywhere.
    LeastSquares plane =
        LeastSquares.fit(
            List.of(
                new Point(0, 0, 1), new Point(0, 1, -1), new Point(1, 0, -1), new Point(1, 1, 1)));

    assertThat(plane.residual()).isCloseTo(1, within(CLOSE));
  }

  @Test
  void pointsOnOneLineFixNoPlane() {
    LeastSquares plane =
        LeastSquares.fit(List.of(new Point(4, 30, 1), new Point(4, 60, 2), new Point(4, 90, 3)));

    assertThat(plane.first()).isNaN();
  }
}
