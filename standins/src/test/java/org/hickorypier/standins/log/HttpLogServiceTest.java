package org.hickorypier.standins.log;

import io.vertx.core.Vertx;
import java.time.Duration;
import org.hickorypier.platform.log.HttpLogService;
import org.hickorypier.platform.log.LogService;
import org.hickorypier.standins.contract.Served;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.http.LogServer;
import org.junit.jupiter.api.AfterEach;

class HttpLogServiceTest extends LogServiceContract {

  private final Vertx vertx = Vertx.vertx();
  private final Served served = new Served(vertx, new LogServer(vertx, log).listen(0));
  private final LogService service = new HttpLogService(vertx, served.address(), Served.PATIENT);

  @AfterEach
  void close() {
    served.close();
  }

  @Override
  LogService service() {
    return service;
  }

  @Override
  LogService hastyService() {
    return new HttpLogService(vertx, served.address(), Served.HASTY);
  }

  @Override
  void plan(FaultPlan plan) {
    served.plan(plan);
  }

  @Override
  void endWait(Duration wait) {
    // The server's own timer ends the wait.
  }
}
