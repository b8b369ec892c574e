package org.hickorypier.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.security.SecureRandom;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.ConfigurationFold;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.GiveKey;
import org.hickorypier.wire.record.ConfigurationRecord.PutTeam;
import org.hickorypier.wire.record.ConfigurationRecord.WithdrawKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

class KeyVerifierTest {

  private final KeyIssuer issuer = new KeyIssuer(new SecureRandom());
  private final IssuedKey labels = issuer.issue();
  private final IssuedKey operator = issuer.issue();
  private final Configuration configuration =
      fold(
          new PutTeam("1", 0, "labels", 1, 1),
          giveKey("2", labels, "labels"),
          giveKey("3", operator, ""));

  private Configuration fold(ConfigurationRecord... changes) {
    Configuration state = Configuration.EMPTY;
    for (ConfigurationRecord change : changes) {
      state = ConfigurationFold.apply(state, state.offset() + 1, change).state();
    }
    return state;
  }

  private static GiveKey giveKey(String id, IssuedKey key, String team) {
    return new GiveKey(id, 0, key.keyId(), team, key.salt(), key.hash());
  }

  @Test
  void validKeysAreMappedToTheirTeam() {
    KeyCheck ofTeam = KeyVerifier.check(configuration, labels.presented());
    KeyCheck ofOperator = KeyVerifier.check(configuration, operator.presented());

    assertThat(ofTeam).isEqualTo(new KeyCheck(KeyStatus.VALID, labels.keyId(), "labels"));
    assertThat(ofTeam.isOperator()).isFalse();
    assertThat(ofOperator.isOperator()).isTrue();
  }

  @Test
  void secretOfAnotherKeyIsRejected() {
    String mixedKey =
        labels.keyId() + operator.presented().substring(operator.presented().indexOf('.'));

    assertThat(KeyVerifier.check(configuration, mixedKey).status()).isEqualTo(KeyStatus.UNKNOWN);
  }

  @ParameterizedTest
  @NullSource
  @ValueSource(strings = {"", ".", "k.", ".s", "nothing", "0011223344556677.secret"})
  void malformedKeysAreRejected(String presented) {
    KeyCheck check = KeyVerifier.check(configuration, presented);

    assertThat(check.status()).isEqualTo(KeyStatus.UNKNOWN);
    assertThat(check.isOperator()).isFalse();
  }

  @Test
  void withdrawnKeyIsRejectedOnceTheWithdrawalIsFolded() {
    Configuration after =
        ConfigurationFold.apply(
                configuration, configuration.offset() + 1, new WithdrawKey("4", 1, labels.keyId()))
            .state();

    assertThat(KeyVerifier.check(after, labels.presented()).status())
        .isEqualTo(KeyStatus.WITHDRAWN);
    assertThat(after.keys().get(labels.keyId()).hash()).isEmpty();
  }

  @Test
  void toStringOmitsTheSecret() {
    String secret = labels.presented().substring(labels.presented().indexOf('.') + 1);

    assertThat(labels.toString()).doesNotContain(secret);
    assertThat(PresentedKey.parse(labels.presented()).orElseThrow().toString())
        .doesNotContain(secret);
  }
}
