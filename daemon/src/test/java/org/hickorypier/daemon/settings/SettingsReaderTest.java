package org.hickorypier.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {

  private static final String SECRET = "correct-horse-battery";
  private static final List<String> REQUIRED =
      List.of(
          "--name",
          "norte-1",
          "--data-centre",
          "norte-a",
          "--log-service",
          "127.0.0.1:9000",
          "--instance-list",
          "[::1]:9001",
          "--peer-secret",
          SECRET);
  private static final Path GOLDEN = Path.of("src/test/resources/golden/settings");

  private final SettingsReader reader = new SettingsReader();

  @Test
  void flagOverridesVariableAndVariableOverridesDefault() throws SettingsException {
    Map<String, String> environment =
        Map.of("HICKORY_HTTP_PORT", "1", "HICKORY_PEER_PORT", "2", "HICKORY_HOST", "10.0.0.1");

    DaemonSettings settings = readSettings(requiredArgumentsWith("--http-port", "0"), environment);

    assertThat(settings.httpPort()).isZero();
    assertThat(settings.peerPort()).isEqualTo(2);
    assertThat(settings.host()).isEqualTo("10.0.0.1");
    assertThat(settings.leaseMillis()).isEqualTo(30_000);
    assertThat(settings.instanceList()).isEqualTo(new HostAndPort("::1", 9001));
    assertThat(settings.operatorKey()).isEmpty();
    assertThat(settings.toString()).doesNotContain(SECRET);
  }

  @Test
  void operatorKeyIsReadFromItsVariable() throws SettingsException {
    DaemonSettings settings =
        readSettings(REQUIRED, Map.of("HICKORY_OPERATOR_KEY", "first.0123456789abcdef"));

    assertThat(settings.operatorKey()).contains(new Secret("first.0123456789abcdef"));
  }

  @ParameterizedTest
  @CsvSource({
    "--http-port, 65536",
    "--http-port, -1",
    "--lease-millis, 4999",
    "--lease-millis, 600001",
    "--lease-millis, 30s",
    "--connections-per-worker, 2",
    "--connections-per-worker, 65",
    "--host, localhost",
    "--host, 10.0.0.256",
    "--log-level, loud",
    "--operator-key, no-secret",
    "--operator-key, first.short",
    "--renewal-millis, 15001",
    "--heartbeat-millis, 700",
    "--event-loops, 99999999999999999999",
  })
  void refusesValuesOutsideTheirRange(String flag, String value) {
    SettingsException error = readAndFail(requiredArgumentsWith(flag, value), Map.of());

    assertThat(error.problems()).hasSize(1);
  }

  @ParameterizedTest
  @CsvSource({
    "--name, a/b",
    "--name, ''",
    "--log-service, 127.0.0.1",
    "--log-service, 127.0.0.1:0",
    "--peer-secret, fifteen-letters",
  })
  void refusesUnusableRequiredValues(String flag, String value) {
    List<String> arguments = new ArrayList<>(REQUIRED);
    arguments.set(arguments.indexOf(flag) + 1, value);

    SettingsException error = readAndFail(arguments, Map.of());

    assertThat(error.problems()).extracting(SettingProblem::name).containsExactly(flag);
  }

  @Test
  void reportsAllProblemsTogetherWithoutSecrets() throws IOException {
    List<String> arguments =
        List.of(
            "--name",
            "a/b",
            "--colour=blue",
            "--peer-secrt",
            "mistyped-flags-secret",
            "--http-port",
            "70000",
            "--peer-port",
            "--host",
            "10.0.0.1",
            "--host",
            "10.0.0.2",
            "--peer-secret",
            "too-short",
            "--lease-millis",
            "6000");
    Map<String, String> environment =
        Map.of("HICKORY_EVENT_LOOPS", "0", "HICKORY_OPERATOR_KEY", "only-half");

    SettingsException error = readAndFail(arguments, environment);

    assertThat(error.getMessage())
        .doesNotContain("too-short")
        .doesNotContain("mistyped-flags-secret")
        .doesNotContain("only-half");
    assertGolden(error.getMessage() + "\n", GOLDEN.resolve("all-errors.txt"));
  }

  @Test
  void printsHelp() throws SettingsException, IOException {
    assertGolden(
        readPrintedText(List.of("--help", "--http-port", "x")), GOLDEN.resolve("help.txt"));
  }

  @Test
  void printsEachValueWithItsSource() throws SettingsException, IOException {
    List<String> arguments =
        requiredArgumentsWith("--print-settings", "--operator-key", "k.0123456789abcdef");

    String text = readPrintedText(arguments, Map.of("HICKORY_LOG_LEVEL", "debug"));

    assertThat(text).doesNotContain(SECRET).doesNotContain("0123456789abcdef");
    assertGolden(text, GOLDEN.resolve("print-settings.txt"));
  }

  @Test
  void referencePageMatchesTheFlags() throws IOException {
    assertGolden(SettingsText.reference(), Path.of("../docs/SETTINGS.md"));
  }

  private DaemonSettings readSettings(List<String> arguments, Map<String, String> environment)
      throws SettingsException {
    return ((SettingsResult.Use) reader.read(arguments, environment)).settings();
  }

  private String readPrintedText(List<String> arguments) throws SettingsException {
    return readPrintedText(arguments, Map.of());
  }

  private String readPrintedText(List<String> arguments, Map<String, String> environment)
      throws SettingsException {
    return ((SettingsResult.Print) reader.read(arguments, environment)).text();
  }

  private SettingsException readAndFail(List<String> arguments, Map<String, String> environment) {
    return catchThrowableOfType(SettingsException.class, () -> reader.read(arguments, environment));
  }

  private static List<String> requiredArgumentsWith(String... more) {
    List<String> arguments = new ArrayList<>(REQUIRED);
    arguments.addAll(List.of(more));
    return arguments;
  }

  // The actual text is written to the build directory, so that an intended change is accepted by
  // copying that file over the golden one.
  private static void assertGolden(String actual, Path expected) throws IOException {
    Path copy = Path.of("target/golden").resolve(expected.getFileName());
    Files.createDirectories(copy.getParent());
    Files.writeString(copy, actual);
    assertThat(actual).as("see " + copy).isEqualTo(Files.readString(expected));
  }
}
