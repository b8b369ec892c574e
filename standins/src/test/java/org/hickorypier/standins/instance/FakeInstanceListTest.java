package org.hickorypier.standins.instance;

import org.hickorypier.platform.instance.InstanceList;
import org.hickorypier.standins.fault.FaultPlan;

class FakeInstanceListTest extends InstanceListContract {

  private final FakeInstanceList fake = new FakeInstanceList(list, time);

  @Override
  InstanceList service() {
    return fake;
  }

  @Override
  InstanceList hastyService() {
    return fake;
  }

  @Override
  void plan(FaultPlan plan) {
    fake.faults().plan(plan);
  }
}
