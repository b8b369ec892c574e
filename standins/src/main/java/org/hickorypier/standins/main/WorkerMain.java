package org.hickorypier.standins.main;

import org.hickorypier.standins.http.WorkerServer;
import org.hickorypier.standins.worker.InMemoryWorker;
import org.hickorypier.standins.worker.WorkerProfile;

/** One stand-in worker as a process. */
public final class WorkerMain {

  private WorkerMain() {}

  /**
   * Starts the worker and prints {@code listening HOST:PORT} when it serves.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    StandInProcess.run(
        () -> {
          Flags flags =
              WorkerFlags.sizes(new Flags())
                  .flag("port", "port", "port to listen on, 0 for a free one")
                  .flag("name", "name", "the worker's name")
                  .flag("data-centre", "name", "the data centre it stands in")
                  .flag("rack", "name", "the rack it stands in")
                  .parse(arguments);
          WorkerProfile profile =
              WorkerFlags.profile(
                  flags,
                  flags.required("name"),
                  flags.text("data-centre", "dc1"),
                  flags.text("rack", "rack1"));
          InMemoryWorker worker = new InMemoryWorker(profile, new MonotonicClock());
          WorkerServer server = new WorkerServer(StandInProcess.vertx(1), worker);
          StandInProcess.announce(StandInProcess.await(server.listen(flags.number("port", 0))));
        });
  }
}
