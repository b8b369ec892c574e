package org.hickorypier.daemon.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.platform.instance.InstanceKind;
import org.hickorypier.platform.instance.InstanceState;
import org.hickorypier.platform.instance.ListedInstance;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembershipTest {

  private static final PeerIdentity OWN = new PeerIdentity("entry-1", 4);
  private static final PeerIdentity PEER = new PeerIdentity("entry-2", 7);

  private final ManualTimerService timers = new ManualTimerService();
  private final Membership membership = new Membership(OWN, Duration.ofSeconds(3), timers);

  @Test
  void workersAndHomeOfDeadPeerMoveToLiveInstance() {
    membership.onInstanceList(List.of(entry("entry-1"), entry("entry-2"), worker("w1")));
    membership.up(PEER);
    assertThat(membership.live()).containsExactly("entry-1", "entry-2");

    membership.down(PEER);
    timers.advance(Duration.ofMillis(3_001));

    assertThat(membership.live()).containsExactly("entry-1");
    assertThat(membership.isLive(PEER)).isFalse();
    assertThat(membership.isLive(OWN)).isTrue();
    assertThat(membership.preferredController("w1")).isEqualTo("entry-1");
    assertThat(membership.home(new WorkKey("labels", "r1"))).isEqualTo("entry-1");
  }

  @ParameterizedTest
  @CsvSource({"entry-2#7, true", "a#b#3, true", "entry-2, false", "entry-2#x, false", "'', false"})
  void identityIsParsedFromText(String text, boolean valid) {
    assertThat(PeerIdentity.parse(text).map(PeerIdentity::toString).filter(text::equals))
        .matches(parsed -> parsed.isPresent() == valid);
  }

  private static ListedInstance entry(String name) {
    return listed(name, InstanceKind.ENTRY);
  }

  private static ListedInstance worker(String name) {
    return listed(name, InstanceKind.WORKER);
  }

  private static ListedInstance listed(String name, InstanceKind kind) {
    return new ListedInstance(name, kind, InstanceState.LIVE, "", "", "dc-1", "rack-1");
  }
}
