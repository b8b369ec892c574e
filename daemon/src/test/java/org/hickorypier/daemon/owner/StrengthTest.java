package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StrengthTest {

  @Test
  void scarcerOfLinkAndProcessorDeterminesStrength() {
    assertThat(Strength.of(1.5, 140)).isEqualTo(new Strength(1_500));
    assertThat(Strength.of(1.5, 7).score()).isLessThan(Strength.of(0.36, 140).score());
  }

  @Test
  void onlyMuchStrongerMachineIsWorthTakeover() {
    Strength common = Strength.of(0.75, 1_000);
    assertThat(Strength.of(1.5, 140).isMuchStrongerThan(common)).isTrue();
    assertThat(Strength.of(0.8, 1_000).isMuchStrongerThan(common)).isFalse();
    assertThat(common.isMuchStrongerThan(common)).isFalse();
    assertThat(Strength.of(4, 1_000).isMuchStrongerThan(Strength.UNKNOWN)).isFalse();
  }

  @Test
  void ownerRecordCarriesStrengthAndDecodesWithoutIt() throws Exception {
    OwnerRecord record = new OwnerRecord(7, "10.1.0.17:7420", new Strength(360));
    assertThat(OwnerRecord.decode(record.encode())).isEqualTo(record);
    assertThat(OwnerRecord.decode("7 10.1.0.17:7420".getBytes()).strength())
        .isEqualTo(Strength.UNKNOWN);
  }
}
