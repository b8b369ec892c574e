package org.hickorypier.standins.main;

import io.vertx.core.Vertx;
import org.hickorypier.standins.http.WorkerServer;
import org.hickorypier.standins.worker.InMemoryWorker;
import org.hickorypier.standins.worker.WorkerProfile;

/**
 * Many stand-in workers in one process, each on a port of its own, for large fleets.
 *
 * <p>Worker n stands in rack n / rack size, and the racks are dealt out to the data centres in
 * turn.
 */
public final class WorkersMain {

  private static final int EVENT_LOOPS = 2;

  private WorkersMain() {}

  /**
   * Starts the workers and prints {@code listening NAME HOST:PORT} for each that serves.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    StandInProcess.run(
        () -> {
          Flags flags =
              WorkerFlags.sizes(new Flags())
                  .flag("count", "count", "how many workers")
                  .flag("first", "number", "number of the first worker, 1 unless given")
                  .flag("prefix", "text", "what their names start with, worker- unless given")
                  .flag("data-centres", "names", "data centres, separated by commas")
                  .flag("rack-size", "count", "workers in a rack, 6 unless given")
                  .parse(arguments);
          Vertx vertx = StandInProcess.vertx(EVENT_LOOPS);
          MonotonicClock clock = new MonotonicClock();
          int first = flags.number("first", 1);
          int count = flags.number("count", 1);
          String[] dataCentres = flags.text("data-centres", "dc1").split(",");
          int rackSize = Math.max(1, flags.number("rack-size", 6));
          for (int number = first; number < first + count; number++) {
            int rack = (number - 1) / rackSize;
            WorkerProfile profile =
                WorkerFlags.profile(
                    flags,
                    flags.text("prefix", "worker-") + number,
                    dataCentres[rack % dataCentres.length],
                    "rack" + (rack + 1));
            WorkerServer server = new WorkerServer(vertx, new InMemoryWorker(profile, clock));
            int port = StandInProcess.await(server.listen(0));
            System.out.println(
                "listening " + profile.name() + " " + StandInProcess.LOOPBACK + ":" + port);
          }
          System.out.flush();
        });
  }
}
