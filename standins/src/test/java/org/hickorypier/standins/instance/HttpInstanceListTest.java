package org.hickorypier.standins.instance;

import io.vertx.core.Vertx;
import org.hickorypier.platform.instance.HttpInstanceList;
import org.hickorypier.platform.instance.InstanceList;
import org.hickorypier.standins.contract.Served;
import org.hickorypier.standins.fault.FaultPlan;
import org.hickorypier.standins.http.InstanceListServer;
import org.junit.jupiter.api.AfterEach;

class HttpInstanceListTest extends InstanceListContract {

  private final Vertx vertx = Vertx.vertx();
  private final Served served = new Served(vertx, new InstanceListServer(vertx, list).listen(0));
  private final InstanceList service =
      new HttpInstanceList(vertx, served.address(), Served.PATIENT);

  @AfterEach
  void close() {
    served.close();
  }

  @Override
  InstanceList service() {
    return service;
  }

  @Override
  InstanceList hastyService() {
    return new HttpInstanceList(vertx, served.address(), Served.HASTY);
  }

  @Override
  void plan(FaultPlan plan) {
    served.plan(plan);
  }
}
