package org.hickorypier.wire.message;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FrameReaderTest {

  private final FrameReader reader = new FrameReader(10);

  @Property(seed = "1", tries = 300)
  void framesComeOutHoweverTheBytesAreCut(
      @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 600) Integer> lengths,
      @ForAll @IntRange(min = 1, max = 700) int cut)
      throws Exception {
    FrameReader cutter = new FrameReader(600);
    List<byte[]> sent = new ArrayList<>();
    List<byte[]> read = new ArrayList<>();
    byte[] stream = {};
    for (int length : lengths) {
      byte[] message = new byte[length];
      Arrays.fill(message, (byte) length);
      sent.add(message);
      byte[] frame = Frame.wrap(message);
      int old = stream.length;
      stream = Arrays.copyOf(stream, old + frame.length);
      System.arraycopy(frame, 0, stream, old, frame.length);
    }
    for (int from = 0; from < stream.length; from += cut) {
      cutter.append(Arrays.copyOfRange(stream, from, Math.min(stream.length, from + cut)));
      for (var next = cutter.next(); next.isPresent(); next = cutter.next()) {
        read.add(next.get());
      }
    }

    assertThat(read).usingRecursiveComparison().isEqualTo(sent);
  }

  @ParameterizedTest
  @ValueSource(ints = {Integer.MIN_VALUE, -1, 0, 1, 12, Integer.MAX_VALUE})
  void lengthOutOfBoundsIsRefusedFromTheFirstFourBytes(int length) {
    reader.append(java.nio.ByteBuffer.allocate(4).putInt(length).array());

    assertThatThrownBy(reader::next).isInstanceOf(FrameException.class);
  }

  @Test
  void otherVersionIsRefusedBeforeTheMessageArrives() {
    reader.append(new byte[] {0, 0, 0, 5, 9});

    assertThatThrownBy(reader::next)
        .isInstanceOf(FrameException.class)
        .hasMessageContaining("version 9");
  }

  @Test
  void raisedLimitHoldsForTheNextFrame() throws Exception {
    byte[] longFrame = Frame.wrap(new byte[11]);
    reader.append(longFrame);
    reader.limit(11);

    assertThat(reader.next()).isPresent();
    assertThat(reader.next()).isEqualTo(Optional.empty());
  }
}
