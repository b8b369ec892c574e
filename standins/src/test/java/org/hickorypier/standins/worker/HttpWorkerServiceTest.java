package org.hickorypier.standins.worker;

import io.vertx.core.Vertx;
import java.time.Duration;
import org.hickorypier.platform.worker.HttpWorkerService;
import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.standins.contract.Served;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.http.WorkerServer;
import org.junit.jupiter.api.AfterEach;

class HttpWorkerServiceTest extends WorkerServiceContract {

  private static final int CONNECTIONS = 4;
  private static final Duration HOLD = Duration.ofSeconds(5);

  private final Vertx vertx = Vertx.vertx();
  private final Served served = new Served(vertx, new WorkerServer(vertx, worker).listen(0));
  private final WorkerService service =
      new HttpWorkerService(vertx, served.address(), CONNECTIONS, Served.PATIENT, HOLD);

  @AfterEach
  void close() {
    served.close();
  }

  @Override
  WorkerService service() {
    return service;
  }

  @Override
  WorkerService hastyService() {
    return new HttpWorkerService(
        vertx, served.address(), CONNECTIONS, Served.HASTY, Duration.ofMillis(1));
  }

  @Override
  void plan(FaultPlan plan) {
    served.plan(plan);
  }

  @Override
  WorkerService unpluggedService() {
    served.stop();
    return new HttpWorkerService(vertx, served.address(), CONNECTIONS, Served.PATIENT, HOLD);
  }
}
