package org.hickorypier.measure.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;
import org.hickorypier.daemon.node.NodeMain;
import org.hickorypier.daemon.node.NodeSettings;
import org.hickorypier.daemon.node.SettingsFileException;

/**
 * Runs one instance whose time of day can be stepped: each line {@code step MILLIS} on standard
 * input moves it.
 *
 * <p>Exit codes: those of {@link NodeMain}.
 */
public final class SoakInstance {

  private static final String STEP = "step ";
  private static final int CANNOT_START = 1;
  private static final int CANNOT_USE = 2;

  private SoakInstance() {}

  /**
   * Starts the instance.
   *
   * @param arguments the settings file
   * @throws IOException if standard input cannot be read
   */
  public static void main(String[] arguments) throws IOException {
    AtomicLong offset = new AtomicLong();
    try {
      NodeSettings settings = NodeSettings.read(Path.of(arguments[0]));
      NodeMain.start(settings, () -> System.currentTimeMillis() + offset.get())
          .deployed()
          .onFailure(SoakInstance::cannotStart);
    } catch (SettingsFileException error) {
      System.err.println("soak instance: " + error.getMessage());
      System.exit(CANNOT_USE);
    }
    BufferedReader input =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = input.readLine(); line != null; line = input.readLine()) {
      if (line.startsWith(STEP)) {
        offset.addAndGet(Long.parseLong(line.substring(STEP.length())));
      }
    }
  }

  /** An instance that does not listen, for instance since its port was taken, must not stay. */
  private static void cannotStart(Throwable error) {
    System.err.println("soak instance: cannot start: " + error);
    Runtime.getRuntime().halt(CANNOT_START);
  }
}
