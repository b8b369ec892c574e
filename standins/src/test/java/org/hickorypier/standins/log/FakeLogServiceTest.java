package org.hickorypier.standins.log;

import java.time.Duration;
import org.hickorypier.platform.log.LogService;
import org.hickorypier.standins.fault.FaultPlan;

class FakeLogServiceTest extends LogServiceContract {

  private final FakeLogService fake = new FakeLogService(log, time);

  @Override
  LogService service() {
    return fake;
  }

  @Override
  LogService hastyService() {
    return fake;
  }

  @Override
  void plan(FaultPlan plan) {
    fake.faults().plan(plan);
  }

  @Override
  void endWait(Duration wait) {
    time.advance(wait.toMillis());
  }
}
