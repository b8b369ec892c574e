package org.hickorypier.core.estimation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class RunTimeEstimatorTest {

  private final RunTimeEstimator estimator = new RunTimeEstimator();
  private final Random random = new Random(5);

  private double length() {
    return Math.exp(0.2 * random.nextGaussian()) * (random.nextInt(100) < 3 ? 7 : 1);
  }

  /** Guards against checks whose order depends on estimates that are off by up to 0.9. */
  @Test
  void wrongEstimatesCountLessThanUsualRunTime() {
    for (int run = 0; run < 300; run++) {
      long estimate = Math.round(540 * (0.1 + 1.8 * random.nextDouble()));
      estimator.recordRun("previews", estimate, Math.round(540 * length() * 1.7), 1.7);
    }
    assertThat(estimator.estimateWeight("previews")).isLessThan(0.3);
    assertThat(estimator.expectedMillis("previews", 60)).isBetween(300L, 700L);
    assertThat(estimator.expectedMillis("previews", 1_000)).isBetween(450L, 800L);
  }

  /** Guards against one figure for tasks of many lengths whose estimates are nearly right. */
  @Test
  void goodEstimatesCountMoreThanUsualRunTime() {
    for (int run = 0; run < 300; run++) {
      long millis = 200 + random.nextInt(10_000);
      estimator.recordRun("mixed", Math.round(millis * 0.8 / length()), millis, 1);
    }
    assertThat(estimator.estimateWeight("mixed")).isGreaterThan(0.7);
    long ratio =
        estimator.expectedMillis("mixed", 8_000) / estimator.expectedMillis("mixed", 1_000);
    assertThat(ratio).isBetween(3L, 8L);
  }

  @Test
  void largerFigureIsUsedBeforeQueueIsKnown() {
    assertThat(estimator.expectedMillis("q", 300)).isEqualTo(300);
    estimator.recordRun("q", 70, 640, 1);
    assertThat(estimator.isKnown("q")).isFalse();
    assertThat(estimator.expectedMillis("q", 70)).isEqualTo(640);
    assertThat(estimator.expectedMillis("q", 900)).isEqualTo(900);
  }

  /** Guards against long tasks that count as about to end because they have run for long. */
  @Test
  void remainingTimeFollowsDistributionAndProgress() {
    for (int run = 0; run < 600; run++) {
      estimator.recordRun("q", 1_000, Math.round(1_000 * length()), 1);
    }
    assertThat(estimator.shareFrom("q", 3.5)).isBetween(0.01, 0.06);
    assertThat(estimator.quantile("q", 0.9)).isBetween(1.0, 1.7);
    assertThat(estimator.remainingMillis("q", 1_000, 1, 500, -1)).isBetween(400L, 1_000L);
    assertThat(estimator.remainingMillis("q", 1_000, 1, 3_000, -1)).isGreaterThan(2_000);
    assertThat(estimator.remainingMillis("q", 1_000, 2, 0, -1)).isGreaterThan(1_800);
    assertThat(estimator.remainingMillis("q", 1_000, 1, 3_000, 75)).isEqualTo(1_000);
  }
}
