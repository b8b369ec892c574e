package org.hickorypier.language.result;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class StatementResultCodecTest {

  private final StatementResultCodec codec = new StatementResultCodec();

  static Stream<Arguments> results() {
    return Stream.of(
        Arguments.of(
            new StatementResult.Table(
                List.of("team", "share"),
                List.of(
                    List.of(Cell.of("labels"), Cell.of(2.5)), List.of(Cell.of("7"), Cell.of(300))),
                List.of("norte-3")),
            "{\"kind\":\"table\",\"columns\":[\"team\",\"share\"],"
                + "\"rows\":[[\"labels\",2.5],[\"7\",300]],\"missing\":[\"norte-3\"]}"),
        Arguments.of(
            new StatementResult.Accepted(7, "team labels created", false, List.of("norte-2"), ""),
            "{\"kind\":\"accepted\",\"offset\":7,\"note\":\"team labels created\","
                + "\"inForce\":false,\"behind\":[\"norte-2\"],\"secret\":\"\"}"),
        Arguments.of(
            new StatementResult.Conflict("team labels is at revision 3"),
            "{\"kind\":\"conflict\",\"message\":\"team labels is at revision 3\"}"),
        Arguments.of(
            new StatementResult.Problem("no team labels", 0),
            "{\"kind\":\"problem\",\"message\":\"no team labels\",\"column\":0}"));
  }

  @ParameterizedTest
  @MethodSource("results")
  void keepsItsJson(StatementResult result, String json) throws ResultFormatException {
    assertThat(codec.encode(result)).isEqualTo(json);
    assertThat(codec.decode(json)).isEqualTo(result);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "null", "[]", "{}", "{\"kind\":\"other\"}", "<html>"})
  void refusesOtherTexts(String json) {
    assertThatThrownBy(() -> codec.decode(json)).isInstanceOf(ResultFormatException.class);
  }
}
