package org.hickorypier.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RendezvousHashTest {

  @ParameterizedTest
  @CsvSource({"8, 60, 2.0", "8, 4200, 1.15", "60, 4200, 1.4", "60, 42000, 1.15"})
  void loadIsBalanced(int instances, int keys, double worstRatio) {
    Map<String, Long> load = load(names(instances), keys);

    double mean = (double) keys / instances;
    assertThat(load).hasSize(instances);
    assertThat(load.values()).allMatch(count -> count <= worstRatio * mean);
  }

  @Test
  void leavingInstanceMovesOnlyItsOwnKeys() {
    List<String> all = names(8);
    List<String> without = all.stream().filter(name -> !name.equals("entry-3")).toList();

    for (String key : keys(4_200)) {
      List<String> ranked = RendezvousHash.ranked(all, key);
      String expected = ranked.get(0).equals("entry-3") ? ranked.get(1) : ranked.get(0);
      assertThat(RendezvousHash.preferred(without, key)).contains(expected);
    }
  }

  @Test
  void joiningInstanceTakesItsShareAndNoOtherKeyMoves() {
    List<String> before = names(8);
    List<String> after = names(9);
    List<String> moved =
        keys(4_200).stream()
            .filter(
                key ->
                    !RendezvousHash.preferred(before, key)
                        .equals(RendezvousHash.preferred(after, key)))
            .toList();

    assertThat(moved).allMatch(key -> RendezvousHash.preferred(after, key).get().equals("entry-9"));
    assertThat(moved.size()).isBetween(4_200 / 9 * 85 / 100, 4_200 / 9 * 115 / 100);
  }

  // Two versions of the program run side by side during a rollout. If their scores differed, they
  // would claim each other's workers repeatedly.
  @Test
  void scoresDoNotChangeBetweenVersions() {
    assertThat(
            IntStream.range(0, 8)
                .mapToObj(index -> RendezvousHash.preferred(names(8), "w" + index)))
        .map(preferred -> preferred.orElseThrow())
        .containsExactly(
            "entry-7", "entry-5", "entry-5", "entry-1", "entry-4", "entry-2", "entry-7", "entry-6");
  }

  private static Map<String, Long> load(List<String> instances, int keys) {
    return keys(keys).stream()
        .map(key -> RendezvousHash.preferred(instances, key).orElseThrow())
        .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
  }

  private static List<String> names(int count) {
    return IntStream.rangeClosed(1, count).mapToObj(index -> "entry-" + index).toList();
  }

  private static List<String> keys(int count) {
    return IntStream.range(0, count).mapToObj(index -> "worker-" + index).toList();
  }
}
