package org.hickorypier.wire.message;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.PeerMessage.Failure;
import org.hickorypier.wire.message.PeerMessage.ForwardedAnswer;
import org.hickorypier.wire.message.PeerMessage.ForwardedWork;
import org.hickorypier.wire.message.PeerMessage.Heartbeat;
import org.hickorypier.wire.message.PeerMessage.Hello;
import org.hickorypier.wire.message.PeerMessage.Part;
import org.hickorypier.wire.message.PeerMessage.Proof;
import org.hickorypier.wire.message.PeerMessage.Question;
import org.hickorypier.wire.message.PeerMessage.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PeerMessageTest {

  private static final byte[] DATA = {1, 2, 3};

  private final MessagePackCodec<PeerMessage> codec = new MessagePackCodec<>(PeerMessage.class);

  static List<PeerMessage> messages() {
    TeamUse use = new TeamUse("labels", 3, 1, 3_000, 2_048, 0);
    NumberedUse change = new NumberedUse(0, 3, 1, 3_000, 2_048, 0);
    return List.of(
        new Hello("entry-1", 7, DATA),
        new Proof(DATA),
        new Heartbeat(1),
        new PeerMessage.OpenRequests(List.of(4L, 7L)),
        new PeerMessage.Settled(List.of(5_000_000_000L)),
        new Digest(12, 30, true, 64_000, 9_000, 2, 17, List.of(0, 1, 2, 3, 4), List.of(use)),
        new PeerMessage.DigestChange(
            12,
            30,
            false,
            64_000,
            9_000,
            2,
            17,
            List.of(4),
            true,
            List.of("labels"),
            List.of(change)),
        new PeerMessage.ConfigurationPush(12, DATA),
        new Part(0, 3, DATA),
        new ForwardedWork(
            4, "labels", "r1", "BATCH", 500, 256, 1, 8, true, 9_000, 700, "print", DATA, 1, true,
            40),
        new ForwardedAnswer(4, "completed", "", "", 0, DATA),
        new Question(5, "query", "show teams"),
        new Reply(5, DATA),
        new Failure(6, true, "no such question"));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messageComesBackAsItWas(PeerMessage message) throws Exception {
    assertThat(codec.decode(codec.encode(message)))
        .usingRecursiveComparison()
        .withStrictTypeChecking()
        .isEqualTo(message);
  }

  // A peer sends a message with a component left out. Read as null it would fail later, on the
  // control thread; it is refused where it is read.
  @Test
  void missingComponentIsUndecodable() {
    byte[] proofOfNothing = {(byte) 0x92, (byte) 0xa2, 'p', 'r', (byte) 0x91, (byte) 0xc0};

    assertThatThrownBy(() -> codec.decode(proofOfNothing)).isInstanceOf(UndecodableException.class);
  }
}
