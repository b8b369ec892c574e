package org.hickorypier.core.permits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hickorypier.wire.record.PermitRecord;

/**
 * A simulated fleet: instances that share one log and read it at their own pace, and workers that
 * know which instance controls them. The workers keep the tasks that actually run, independently of
 * the state of the instances.
 */
final class PermitFleet {

  static final String TEAM = "labels";

  final List<PermitRecord> log = new ArrayList<>();
  final List<Integer> limits = new ArrayList<>();
  final Map<String, PermitFleetMember> members = new TreeMap<>();
  final Map<String, Worker> workers = new TreeMap<>();
  PermitState head = PermitState.EMPTY;
  long now;
  long revision;
  int configuredLimit;

  PermitFleet(int workerCount) {
    for (int index = 0; index < workerCount; index++) {
      Worker worker = new Worker("w" + index);
      workers.put(worker.name, worker);
    }
  }

  PermitFleetMember join(String name) {
    PermitFleetMember earlier = members.get(name);
    long incarnation = earlier == null ? 1 : earlier.self.incarnation() + 1;
    PermitFleetMember member = new PermitFleetMember(this, new Holder(name, incarnation));
    members.put(name, member);
    member.permits.putTeam(TEAM, revision, configuredLimit, now);
    return member;
  }

  void configure(int limit) {
    revision++;
    configuredLimit = limit;
    members.values().forEach(member -> member.permits.putTeam(TEAM, revision, limit, now));
  }

  void append(PermitRecord change) {
    log.add(change);
    head = PermitFold.apply(head, log.size() - 1, change).state();
    limits.add(head.team(TEAM).limit());
  }

  /** Returns the number of running tasks according to the workers. */
  int running() {
    return workers.values().stream().mapToInt(Worker::running).sum();
  }

  /** Returns the largest limit in force between an offset and the end of the log. */
  int largestLimitSince(long offset) {
    int largest = 0;
    for (int at = (int) Math.max(0, offset); at < limits.size(); at++) {
      largest = Math.max(largest, limits.get(at));
    }
    return largest;
  }

  boolean isLive(Holder holder) {
    PermitFleetMember member = members.get(holder.instance());
    return member != null && member.self.equals(holder) && !member.paused;
  }

  List<WorkerObservation> observations() {
    return workers.values().stream()
        .map(
            worker ->
                new WorkerObservation(
                    worker.name, Optional.ofNullable(worker.controller), worker.tasks.keySet()))
        .toList();
  }

  /** A worker that rejects orders under any control token other than the last one it granted. */
  static final class Worker {

    final String name;
    final Map<Holder, Integer> tasks = new TreeMap<>();
    long token;
    Holder controller;

    Worker(String name) {
      this.name = name;
    }

    long grantControl(Holder newController) {
      controller = newController;
      return ++token;
    }

    boolean start(long orderToken, Holder owner) {
      if (orderToken != token) {
        return false;
      }
      tasks.merge(owner, 1, Integer::sum);
      return true;
    }

    void end(Holder owner) {
      tasks.computeIfPresent(owner, (key, count) -> count == 1 ? null : count - 1);
    }

    int running() {
      return tasks.values().stream().mapToInt(Integer::intValue).sum();
    }
  }
}
