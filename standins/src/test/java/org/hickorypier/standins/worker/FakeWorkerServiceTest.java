package org.hickorypier.standins.worker;

import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.standins.fault.FaultPlan;

class FakeWorkerServiceTest extends WorkerServiceContract {

  private final FakeWorkerService fake = new FakeWorkerService(worker, time);

  @Override
  WorkerService service() {
    return fake;
  }

  @Override
  WorkerService hastyService() {
    return fake;
  }

  @Override
  void plan(FaultPlan plan) {
    fake.faults().plan(plan);
  }

  @Override
  WorkerService unpluggedService() {
    fake.reachable(false);
    return fake;
  }
}
