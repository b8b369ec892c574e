package org.hickorypier.core.estimation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.hickorypier.wire.UndecodableException;
import org.junit.jupiter.api.Test;

/**
 * Learns the speeds of 240 workers of one kind, two thirds of which take 0.7 of the usual time and
 * one third 1.7 times as long, from steps whose tasks differ by 0.3 and of which three in a hundred
 * are seven times as long.
 */
class WorkerSpeedEstimatorTest {

  private static final int WORKERS = 240;
  private static final double FAST = 0.7;
  private static final double SLOW = 1.7;

  private final Random random = new Random(11);
  private final long now = 1_000_000;

  private static WorkerRating rating(WorkerSpeedEstimator estimator, int worker, long now) {
    return estimator.rating("w" + worker, "service", "kind", 1, now);
  }

  private static double actualFactor(int worker) {
    return worker % 3 == 0 ? SLOW : FAST;
  }

  /** Runs steps of 3 to 25 tasks on random workers until each has had some tasks on average. */
  private void learn(WorkerSpeedEstimator estimator, double runsPerWorker) {
    for (int worker = 0; worker < WORKERS; worker++) {
      rating(estimator, worker, now);
    }
    for (int run = 0; run < runsPerWorker * WORKERS; ) {
      StepSamples step = new StepSamples();
      double stepMillis = 300 + random.nextInt(5_000);
      for (int tasks = 3 + random.nextInt(23); tasks > 0; tasks--, run++) {
        int worker = random.nextInt(WORKERS);
        double length = Math.exp(0.3 * random.nextGaussian()) * (random.nextInt(100) < 3 ? 7 : 1);
        long millis = Math.round(stepMillis * length * actualFactor(worker));
        estimator.recordRun(rating(estimator, worker, now), step, millis, now);
      }
    }
    for (int count = 1; count <= 5; count++) {
      estimator.refresh(now + 200 * count);
    }
  }

  private static double shareOnRightSide(WorkerSpeedEstimator estimator, long now) {
    int right = 0;
    for (int worker = 0; worker < WORKERS; worker++) {
      double middle = Math.sqrt(FAST * SLOW);
      boolean slow = rating(estimator, worker, now).factor() > middle;
      right += slow == actualFactor(worker) > middle ? 1 : 0;
    }
    return right / (double) WORKERS;
  }

  /** Guards against checks on slow workers after a takeover, for want of samples. */
  @Test
  void threeSamplesTellFastFromSlowWorkers() {
    WorkerSpeedEstimator estimator = new WorkerSpeedEstimator(true);
    learn(estimator, 3);
    assertThat(shareOnRightSide(estimator, now)).isGreaterThan(0.9);
  }

  @Test
  void figuresAreAccurateToAboutTenthWithEightSamples() {
    WorkerSpeedEstimator estimator = new WorkerSpeedEstimator(true);
    learn(estimator, 12);
    double error = 0;
    double mean = 0;
    for (int worker = 0; worker < WORKERS; worker++) {
      mean += actualFactor(worker) / WORKERS;
    }
    for (int worker = 0; worker < WORKERS; worker++) {
      WorkerRating rating = rating(estimator, worker, now);
      error += Math.abs(Math.log(rating.factor() * mean / actualFactor(worker))) / WORKERS;
      assertThat(rating.uncertainty()).isLessThan(0.2);
    }
    assertThat(error).isLessThan(0.12);
    assertThat(shareOnRightSide(estimator, now)).isGreaterThan(0.98);
  }

  /** Guards against a worker that counts as slow since it was given a long task. */
  @Test
  void longTaskDoesNotMakeWorkerSlow() {
    WorkerSpeedEstimator estimator = new WorkerSpeedEstimator(true);
    learn(estimator, 8);
    WorkerRating worker = rating(estimator, 1, now);
    final double before = worker.factor();
    StepSamples step = new StepSamples();
    for (int other = 2; other < 8; other++) {
      long millis = Math.round(1_000 * actualFactor(other));
      estimator.recordRun(rating(estimator, other, now), step, millis, now);
    }
    estimator.recordRun(worker, step, Math.round(7_000 * FAST), now);
    estimator.refresh(now + 5_000);
    assertThat(worker.factor()).isBetween(0.85 * before, 1.15 * before);
  }

  @Test
  void restartedWorkerAndWorkerOfOtherKindStartAnew() {
    WorkerSpeedEstimator estimator = new WorkerSpeedEstimator(true);
    learn(estimator, 8);
    assertThat(rating(estimator, 0, now).factor()).isGreaterThan(1.3);
    WorkerRating reborn = estimator.rating("w0", "service", "kind", 2, now);
    assertThat(reborn.samples()).isZero();
    assertThat(reborn.factor()).isLessThan(1.2);
    assertThat(estimator.rating("w1", "service", "other", 1, now).factor()).isEqualTo(1);
  }

  @Test
  void allWorkersOfKindHaveSameFigureIfSwitchedOff() {
    WorkerSpeedEstimator estimator = new WorkerSpeedEstimator(false);
    StepSamples step = new StepSamples();
    for (int worker = 0; worker < 20; worker++) {
      String kind = worker % 2 == 0 ? "quick" : "slow";
      WorkerRating rating = estimator.rating("w" + worker, "service", kind, 1, now);
      estimator.recordRun(rating, step, worker % 2 == 0 ? 700 : 1_000, now);
    }
    for (int count = 1; count <= 5; count++) {
      estimator.refresh(now + 200 * count);
    }
    WorkerRating fresh = estimator.rating("new", "service", "slow", 1, now);
    assertThat(fresh.factor()).isEqualTo(factor("w1", "slow", estimator));
    assertThat(factor("w0", "quick", estimator)).isEqualTo(factor("w2", "quick", estimator));
    assertThat(fresh.factor() / factor("w0", "quick", estimator)).isBetween(1.2, 1.45);
  }

  private double factor(String id, String kind, WorkerSpeedEstimator estimator) {
    return estimator.rating(id, "service", kind, 1, now).factor();
  }

  /** Guards against a new owner that knows nothing, and one that trusts old figures for ever. */
  @Test
  void successorStartsWithSpeedsAndCorrectsThem() throws UndecodableException {
    WorkerSpeedEstimator estimator = new WorkerSpeedEstimator(true);
    learn(estimator, 8);
    WorkerSpeedEstimator successor = new WorkerSpeedEstimator(true);
    successor.restore(WorkerSpeedCodec.decode(WorkerSpeedCodec.encode(estimator.speeds())));
    assertThat(shareOnRightSide(successor, now)).isGreaterThan(0.97);
    WorkerRating changed = rating(successor, 0, now);
    assertThat(changed.factor()).isGreaterThan(1.3);
    for (int count = 0; count < 4; count++) {
      StepSamples step = new StepSamples();
      for (int other = 1; other < 8; other++) {
        long millis = Math.round(1_000 * actualFactor(other));
        successor.recordRun(rating(successor, other, now), step, millis, now);
      }
      successor.recordRun(changed, step, 700, now);
      successor.refresh(now + 5_000 + 200 * count);
    }
    assertThat(changed.factor()).isLessThan(1.1);
    assertThat(successor.rating("w3", "service", "kind", 2, now).samples()).isZero();
  }

  /** Guards against a takeover that fails, or uses wild figures, because of a damaged record. */
  @Test
  void unreadableRecordIsRefused() {
    byte[] valid =
        WorkerSpeedCodec.encode(List.of(new WorkerSpeed("w", "service", "kind", 1, 1.5, 3)));
    byte[] cut = Arrays.copyOf(valid, valid.length - 3);
    byte[] otherVersion = valid.clone();
    otherVersion[0]++;
    byte[] wildFactor = valid.clone();
    wildFactor[wildFactor.length - 9] = 0x7f;
    for (byte[] bytes : List.of(new byte[0], new byte[] {1, 2, 3}, cut, otherVersion, wildFactor)) {
      assertThatThrownBy(() -> WorkerSpeedCodec.decode(bytes))
          .isInstanceOf(UndecodableException.class);
    }
  }
}
