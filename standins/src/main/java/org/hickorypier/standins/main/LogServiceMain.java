package org.hickorypier.standins.main;

import org.hickorypier.standins.http.LogServer;
import org.hickorypier.standins.log.InMemoryLog;
import org.hickorypier.standins.log.LogRetention;

/** The stand-in log service as a process. */
public final class LogServiceMain {

  private static final int MILLIS_A_SECOND = 1_000;

  private LogServiceMain() {}

  /**
   * Starts the service and prints {@code listening HOST:PORT} when it serves.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    StandInProcess.run(
        () -> {
          Flags flags =
              new Flags()
                  .flag("port", "port", "port to listen on, 0 for a free one")
                  .flag("retention-records", "count", "largest number of records of a stream")
                  .flag("retention-seconds", "seconds", "largest age of a record")
                  .parse(arguments);
          int usualSeconds = (int) (LogRetention.USUAL.ageMillis() / MILLIS_A_SECOND);
          long seconds = flags.number("retention-seconds", usualSeconds);
          LogRetention retention =
              new LogRetention(
                  flags.number("retention-records", LogRetention.USUAL.records()),
                  seconds * MILLIS_A_SECOND);
          InMemoryLog log = new InMemoryLog(new MonotonicClock(), retention);
          LogServer server = new LogServer(StandInProcess.vertx(1), log);
          StandInProcess.announce(StandInProcess.await(server.listen(flags.number("port", 0))));
        });
  }
}
