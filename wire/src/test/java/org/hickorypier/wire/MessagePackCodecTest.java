package org.hickorypier.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.GiveKey;
import org.hickorypier.wire.record.ConfigurationRecord.PutTeam;
import org.junit.jupiter.api.Test;

class MessagePackCodecTest {

  private final MessagePackCodec<ConfigurationRecord> codec =
      new MessagePackCodec<>(ConfigurationRecord.class);

  @Test
  void recordComesBackAsItWas() throws Exception {
    ConfigurationRecord team = new PutTeam("change-1", 0, "labels", 2.5, 40);

    assertThat(codec.decode(codec.encode(team))).isEqualTo(team);
  }

  @Test
  void byteStringsComeBack() throws Exception {
    GiveKey key = new GiveKey("c", 0, "k1", "labels", new byte[] {1, 2}, new byte[] {3});

    GiveKey back = (GiveKey) codec.decode(codec.encode(key));

    assertThat(back.salt()).containsExactly(1, 2);
    assertThat(back.hash()).containsExactly(3);
  }

  // A peer sends nine bytes that announce a byte string of 2 GB. Without the check the daemon
  // allocates it and dies of memory; with it the caller sees the error at once.
  @Test
  void announcedLengthBeyondTheInputAllocatesNothing() {
    byte[] hostile = {(byte) 0x92, (byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2};

    assertThatThrownBy(() -> codec.decode(hostile)).isInstanceOf(UndecodableException.class);
  }
}
