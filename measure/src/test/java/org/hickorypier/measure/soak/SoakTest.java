package org.hickorypier.measure.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Callers hand in work at three real instances while those are killed, paused and cut off, and the
 * store and workers misbehave. What was accepted comes to an end, once; nothing that was refused
 * runs; no limit is passed. The seeds are fixed; {@code bin/soak} plays fresh ones.
 */
class SoakTest {

  @ParameterizedTest
  @ValueSource(longs = {1, 11})
  void promisesHoldUnderDisturbances(long seed) throws Exception {
    SoakResult result = new SoakRun(seed, SoakSettings.usual(Path.of("target", "soak"))).play();
    assertThat(result.broken()).as("%s", result.disturbances()).isEmpty();
  }

  /** Guards against tasks that are started on worker after worker, each of which they crash. */
  @ParameterizedTest
  @ValueSource(longs = {3800})
  void crashingTasksAreGivenUpAndNoOthers(long seed) throws Exception {
    SoakResult result = new SoakRun(seed, SoakSettings.crashing(Path.of("target", "soak"))).play();
    assertThat(result.broken()).as("%s", result.disturbances()).isEmpty();
  }

  /** Guards against large and scheduled submissions, or a failing service, that stop other work. */
  @ParameterizedTest
  @ValueSource(longs = {2})
  void promisesHoldBesideLargeSubmissions(long seed) throws Exception {
    SoakResult result = new SoakRun(seed, SoakSettings.large(Path.of("target", "soak"))).play();
    assertThat(result.broken()).as("%s", result.disturbances()).isEmpty();
  }

  /** A successor waited 9.87 s for each worker that had left; one started again what was done. */
  @ParameterizedTest
  @ValueSource(longs = {9000, 9105})
  void tasksThatLastRunAgainBesideRelease(long seed) throws Exception {
    SoakResult result = new SoakRun(seed, SoakSettings.release(Path.of("target", "soak"))).play();
    assertThat(result.broken()).as("%s", result.disturbances()).isEmpty();
  }
}
