package org.hickorypier.standins.main;

import org.hickorypier.standins.http.InstanceListServer;
import org.hickorypier.standins.instance.InMemoryInstanceList;

/** The stand-in instance list as a process. */
public final class InstanceListMain {

  private InstanceListMain() {}

  /**
   * Starts the list and prints {@code listening HOST:PORT} when it serves.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    StandInProcess.run(
        () -> {
          Flags flags =
              new Flags()
                  .flag("port", "port", "port to listen on, 0 for a free one")
                  .flag("lag-millis", "millis", "how long a change stays unseen")
                  .parse(arguments);
          InMemoryInstanceList list =
              new InMemoryInstanceList(new MonotonicClock(), flags.number("lag-millis", 0));
          InstanceListServer server = new InstanceListServer(StandInProcess.vertx(1), list);
          StandInProcess.announce(StandInProcess.await(server.listen(flags.number("port", 0))));
        });
  }
}
