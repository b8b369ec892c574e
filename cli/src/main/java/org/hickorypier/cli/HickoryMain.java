package org.hickorypier.cli;

import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;

/** The program hickory, the operators' command line. */
public final class HickoryMain {

  private HickoryMain() {}

  /**
   * Runs one call and exits with its {@link ExitCode}.
   *
   * @param arguments the command line
   * @throws IOException if standard input cannot be read
   * @throws InterruptedException if the call is broken off
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    Terminal terminal =
        new Terminal(
            new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)),
            stream(FileDescriptor.out),
            stream(FileDescriptor.err),
            System.console() != null);
    ExitCode code =
        new HickoryCommand(
                terminal,
                System.getenv(),
                () -> UUID.randomUUID().toString(),
                // The wait between two polls; tests of the command pass a fake one.
                duration -> Thread.sleep(duration.toMillis()))
            .run(List.of(arguments));
    terminal.output().flush();
    System.exit(code.code());
  }

  private static PrintStream stream(FileDescriptor descriptor) {
    return new PrintStream(new FileOutputStream(descriptor), true, StandardCharsets.UTF_8);
  }
}
