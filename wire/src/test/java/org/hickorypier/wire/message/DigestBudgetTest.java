package org.hickorypier.wire.message;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DigestBudgetTest {

  private static final int SECONDS = 600;

  // Every digest uses all that it may. The links together stay within the bytes of an instance,
  // however many there are; with many, digests become rarer.
  @ParameterizedTest
  @CsvSource({"1, 600", "7, 600", "15, 300", "59, 120"})
  void linksShareTheBytesOfAnInstance(int links, int leastDigests) {
    DigestBudget budget = new DigestBudget();
    long bytes = 0;
    int digests = 0;
    for (int second = 0; second < SECONDS; second++) {
      int uses = budget.mostUses(second * 1_000L, links);
      if (uses >= 0) {
        int size = DigestBudget.FIXED_BYTES + uses * DigestBudget.BYTES_EACH;
        budget.spent(size);
        bytes += size;
        digests++;
      }
    }

    int saved = DigestBudget.SAVED_AT_MOST * links;
    assertThat(bytes * links)
        .isLessThanOrEqualTo((long) DigestBudget.BYTES_PER_SECOND * SECONDS + saved);
    assertThat(digests).isGreaterThanOrEqualTo(leastDigests);
  }
}
