package org.hickorypier.daemon;

import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.hickorypier.daemon.logging.LogSetup;
import org.hickorypier.daemon.settings.DaemonSettings;
import org.hickorypier.daemon.settings.SettingsException;
import org.hickorypier.daemon.settings.SettingsReader;
import org.hickorypier.daemon.settings.SettingsResult;

/**
 * The daemon's command line.
 *
 * <p>Exit codes: 0 after a graceful shutdown or after printing help or settings; 1 if the daemon
 * could not start; 2 if a setting is missing or wrong.
 */
public final class HickorydMain {

  private static final int EXIT_NOT_STARTED = 1;
  private static final int EXIT_BAD_SETTINGS = 2;

  private static volatile int exitCode;

  private HickorydMain() {}

  /**
   * Starts a daemon and leaves it running until SIGTERM.
   *
   * @param arguments the flags
   */
  public static void main(String[] arguments) {
    LogSetup.selectLogManager();
    try {
      SettingsResult result = new SettingsReader().read(List.of(arguments), System.getenv());
      if (result instanceof SettingsResult.Print print) {
        System.out.print(print.text());
        return;
      }
      run(((SettingsResult.Use) result).settings());
    } catch (SettingsException error) {
      System.err.println(error.getMessage());
      System.exit(EXIT_BAD_SETTINGS);
    }
  }

  private static void run(DaemonSettings settings) {
    LogSetup.start(settings.logLevel(), System.err);
    LogSetup.start(settings.logLevel(), System.err);
    Incarnations daemon =
        new Incarnations(
            (httpPort, peerPort, number, onFenced) ->
                new Hickoryd(settings.withPorts(httpPort, peerPort), number, onFenced),
            System::currentTimeMillis,
            renewal -> renewalThread(renewal).start(),
            time -> LockSupport.parkNanos(time.toNanos()),
            HickorydMain::notStarted);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "shutdown"));
    try {
      System.out.println("listening " + daemon.start());
    } catch (DaemonStartException error) {
      notStarted(error);
    }
  }

  /** Makes a thread that keeps the process alive between two incarnations. */
  static Thread renewalThread(Runnable renewal) {
    Thread thread = new Thread(renewal, "incarnations");
    // It is asked for on the control thread, a daemon thread, and would be one too.
    thread.setDaemon(false);
    return thread;
  }

  private static void notStarted(Throwable error) {
    boolean isExpected = error instanceof DaemonStartException;
    System.err.println("hickoryd: " + (isExpected ? error.getMessage() : error));
    exitCode = EXIT_NOT_STARTED;
    Runtime.getRuntime().exit(EXIT_NOT_STARTED);
  }

  // After SIGTERM the platform ends the process with 143 whatever the hooks did, and a supervisor
  // takes a graceful shutdown for a crash. To halt with our own code, as the last act, prevents it.
  private static void shutDown(Incarnations daemon) {
    try {
      daemon.close();
    } finally {
      Runtime.getRuntime().halt(exitCode);
    }
  }
}
