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

  /** Guards against a sum over the workers that overflows and ends the work that needs it. */
  @Test
  void sumsAndProductsBeyondTheirTypeAreTheLargestAmounts() {
    Resources largest = new Resources(Long.MAX_VALUE, Long.MAX_VALUE, Integer.MAX_VALUE);
    Resources large = new Resources(Long.MAX_VALUE / 3, 1L << 62, Integer.MAX_VALUE / 2);

    assertThat(largest.plus(new Resources(1, Long.MAX_VALUE, 1))).isEqualTo(largest);
    assertThat(large.times(4)).isEqualTo(largest);
    assertThat(large.times(1)).isEqualTo(large);
    assertThat(large.times(0)).isEqualTo(Resources.NONE);
    assertThat(new Resources(3, 5, 7).times(10)).isEqualTo(new Resources(30, 50, 70));
  }

  @Property(seed = "1", tries = 200)
  void minusUndoesPlus(@ForAll @IntRange(max = 1_000) int a, @ForAll @IntRange(max = 1_000) int b) {
    Resources first = new Resources(a, b, a % 8);
    Resources second = new Resources(b, a, b % 8);

    assertThat(first.plus(second).minus(second)).isEqualTo(first);
  }
}
