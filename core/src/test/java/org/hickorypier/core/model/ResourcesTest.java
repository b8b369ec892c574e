package org.hickorypier.core.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ResourcesTest {

  @Test
  void dominantShareIsTheLargestFraction() {
    Resources total = new Resources(16_000, 64_000, 2);

    assertThat(new Resources(4_000, 32_000, 0).dominantShare(total)).isEqualTo(0.5);
    assertThat(new Resources(4_000, 1_000, 2).dominantShare(total)).isEqualTo(1.0);
  }

  @Test
  void negativeAmountIsRejectedWithItsValues() {
    assertThatThrownBy(() -> new Resources(-1, 0, 0))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("-1, 0, 0");
  }

  @Property(seed = "1", tries = 200)
  void minusUndoesPlus(@ForAll @IntRange(max = 1_000) int a, @ForAll @IntRange(max = 1_000) int b) {
    Resources first = new Resources(a, b, a % 8);
    Resources second = new Resources(b, a, b % 8);

    assertThat(first.plus(second).minus(second)).isEqualTo(first);
  }
}
