package org.hickorypier.core.permits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hickorypier.core.permits.PermitFleet.Worker;
import org.hickorypier.wire.record.PermitRecord;
import org.hickorypier.wire.record.PermitRecord.AdoptedTasks;
import org.hickorypier.wire.record.PermitRecord.Retire;

/** An instance of the simulated fleet. */
final class PermitFleetMember {

  private static final String TEAM = PermitFleet.TEAM;

  final PermitFleet fleet;
  final Holder self;
  final LocalPermits permits;
  final Deque<PermitRecord> outbox = new ArrayDeque<>();
  final Map<String, Long> controlTokens = new TreeMap<>();

  boolean paused;
  int waiting;
  int urgent;
  int started;

  PermitFleetMember(PermitFleet fleet, Holder self) {
    this.fleet = fleet;
    this.self = self;
    this.permits = new LocalPermits(self);
  }

  int running() {
    int running = 0;
    for (Worker worker : fleet.workers.values()) {
      for (Map.Entry<Holder, Integer> group : worker.tasks.entrySet()) {
        running += permits.covers(worker.name, group.getKey()) ? group.getValue() : 0;
      }
    }
    return running;
  }

  void read(int count) {
    for (int index = 0; index < count; index++) {
      int offset = (int) permits.state().offset() + 1;
      if (offset >= fleet.log.size()) {
        break;
      }
      permits.fold(offset, fleet.log.get(offset));
    }
  }

  void readAll() {
    read(fleet.log.size());
  }

  void plan() {
    Map<Holder, PermitDemand> others = new TreeMap<>();
    for (PermitFleetMember other : fleet.members.values()) {
      if (other != this && !other.paused) {
        others.put(other.self, other.demand());
      }
    }
    outbox.addAll(permits.plan(TEAM, demand(), others, fleet.now).records());
  }

  PermitDemand demand() {
    return new PermitDemand(running(), waiting, Math.min(urgent, waiting));
  }

  /** Sends the oldest record, which stays in the outbox for a retry if the answer is lost. */
  void send(boolean answerLost) {
    if (!outbox.isEmpty()) {
      fleet.append(answerLost ? outbox.peek() : outbox.poll());
    }
  }

  void sendAll() {
    while (!outbox.isEmpty()) {
      send(false);
    }
  }

  /** Starts one task if the permits allow it and a worker accepts it. */
  boolean start() {
    if (waiting == 0 || running() >= permits.usable(TEAM)) {
      return false;
    }
    for (Map.Entry<String, Long> held : controlTokens.entrySet()) {
      Worker worker = fleet.workers.get(held.getKey());
      if (permits.mayStartOn(worker.name, held.getValue()) && worker.start(held.getValue(), self)) {
        waiting--;
        started++;
        return true;
      }
    }
    return false;
  }

  void endOne() {
    for (Worker worker : fleet.workers.values()) {
      if (worker.tasks.containsKey(self)) {
        worker.end(self);
        return;
      }
    }
  }

  void claim(Worker worker) {
    controlTokens.put(worker.name, worker.grantControl(self));
    adoptOn(worker, true);
  }

  /** Adopts the tasks of fenced holders on a worker, by a record that also announces control. */
  void adoptOn(Worker worker, boolean evenWithoutTasks) {
    long token = controlTokens.getOrDefault(worker.name, -1L);
    if (token != worker.token) {
      return;
    }
    List<AdoptedTasks> adopted = new ArrayList<>();
    worker.tasks.forEach(
        (owner, count) -> {
          Holder holder = permits.state().worker(worker.name).holderOf(owner);
          if (permits.state().isFenced(holder)) {
            adopted.add(new AdoptedTasks(TEAM, owner.instance(), owner.incarnation(), count));
          }
        });
    if (evenWithoutTasks || !adopted.isEmpty()) {
      outbox.add(permits.createAdoption(worker.name, token, adopted));
    }
  }

  void adoptAll() {
    fleet.workers.values().forEach(worker -> adoptOn(worker, false));
  }

  void fence(Holder holder) {
    if (RetirementRule.mayFence(holder, fleet.observations())) {
      outbox.add(permits.createFence(holder));
    }
  }

  void retire(Holder holder) {
    if (RetirementRule.mayRetire(permits.state(), holder, fleet.observations())) {
      outbox.add(new Retire(holder.instance(), holder.incarnation()));
    }
  }
}
