package org.hickorypier.core.permits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.record.PermitRecord;
import org.junit.jupiter.api.Test;

class PermitFleetTest {

  private static final String TEAM = PermitFleet.TEAM;

  private final PermitFleet fleet = new PermitFleet(8);

  private List<PermitFleetMember> joinAll(int count, int limit) {
    fleet.configure(limit);
    List<PermitFleetMember> members = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      members.add(fleet.join("instance-" + index));
    }
    int turn = 0;
    for (PermitFleet.Worker worker : fleet.workers.values()) {
      members.get(turn++ % count).claim(worker);
    }
    settle();
    return members;
  }

  /** Lets every instance plan, send, read and start until nothing changes any more. */
  private void settle() {
    for (int round = 0; round < 20; round++) {
      fleet.now += 1_000;
      fleet.members.values().stream()
          .filter(member -> !member.paused)
          .forEach(PermitFleetMember::plan);
      fleet.members.values().forEach(PermitFleetMember::sendAll);
      fleet.members.values().stream()
          .filter(member -> !member.paused)
          .forEach(
              member -> {
                member.readAll();
                while (member.start()) {
                  assertThat(fleet.running()).isLessThanOrEqualTo(head().limit());
                }
              });
    }
  }

  private TeamPermits head() {
    return fleet.head.team(TEAM);
  }

  // A peak begins: all eight instances have more waiting than the whole limit and ask in the same
  // moment, none knowing of the others' requests. Whatever each asked for, no more than the limit
  // is held, and each gets its part.
  @Test
  void simultaneousRequestsStayWithinLimit() {
    List<PermitFleetMember> members = joinAll(8, 40);
    members.forEach(member -> member.waiting = 100);
    members.forEach(PermitFleetMember::plan);
    members.forEach(member -> member.send(false));
    assertThat(head().sum()).isLessThanOrEqualTo(40);

    settle();

    assertThat(fleet.running()).isEqualTo(40);
    assertThat(members).allMatch(member -> member.running() >= 4);
  }

  // An operator lowers a limit of 40 to 10 while 40 run. Nothing is killed and nothing starts until
  // fewer than 10 run. Without the rule, instances would refill each permit that comes free and
  // stay at 40 for as long as work waits.
  @Test
  void loweredLimitStartsNothingUntilEnoughTasksEnd() {
    List<PermitFleetMember> members = joinAll(4, 40);
    members.forEach(member -> member.waiting = 100);
    settle();
    assertThat(fleet.running()).isEqualTo(40);

    fleet.configure(10);
    settle();
    assertThat(fleet.running()).isEqualTo(40);
    while (fleet.running() > 10) {
      members.forEach(PermitFleetMember::endOne);
      int before = fleet.running();
      settle();
      assertThat(fleet.running()).isLessThanOrEqualTo(Math.max(before, 10));
    }

    settle();
    assertThat(fleet.running()).isEqualTo(10);
    assertThat(head().sum()).isEqualTo(10);
  }

  // The operator's change has reached this instance before it has reached the permits stream. From
  // then on the instance starts nothing above the new limit.
  @Test
  void loweredLimitAppliesBeforeItsRecordIsFolded() {
    PermitFleetMember member = joinAll(1, 10).get(0);
    member.waiting = 4;
    settle();
    member.waiting = 1;

    fleet.configure(3);

    assertThat(member.start()).isFalse();
  }

  // An instance dies with 20 running tasks and 10 idle permits. Its permits stay parked while its
  // tasks may run. The adopter of its tasks gets the 20; the others get the 10 once it is retired.
  @Test
  void deadInstanceKeepsPermitsUntilTakeover() {
    List<PermitFleetMember> members = joinAll(3, 30);
    PermitFleetMember dead = members.get(0);
    dead.waiting = 30;
    settle();
    for (int ended = 0; ended < 10; ended++) {
      dead.endOne();
    }
    dead.paused = true;
    members.get(1).waiting = 50;
    members.get(2).waiting = 50;
    settle();
    assertThat(head().heldBy(dead.self)).isEqualTo(30);
    assertThat(fleet.running()).isEqualTo(20);

    takeOver(members.get(1), dead);

    assertThat(fleet.running()).isEqualTo(30);
    assertThat(head().heldBy(dead.self)).isZero();
    assertThat(members.get(1).running()).isGreaterThanOrEqualTo(20);
  }

  // The dead one was only paused. It wakes with 10 permits in its view that others use by now. Its
  // workers refuse its orders, and once it has read the log it has nothing and gets nothing.
  @Test
  void resumedHolderCannotUseReassignedPermits() {
    List<PermitFleetMember> members = joinAll(2, 10);
    PermitFleetMember paused = members.get(0);
    paused.waiting = 10;
    settle();
    for (int ended = 0; ended < 5; ended++) {
      paused.endOne();
    }
    paused.paused = true;
    members.get(1).waiting = 50;
    takeOver(members.get(1), paused);
    assertThat(fleet.running()).isEqualTo(10);

    paused.paused = false;
    paused.waiting = 10;
    assertThat(paused.permits.usable(TEAM)).isEqualTo(10);
    assertThat(paused.start()).isFalse();
    paused.claim(fleet.workers.get("w0"));
    assertThat(paused.start()).isFalse();
    paused.sendAll();
    paused.readAll();
    assertThat(paused.start()).isFalse();
    paused.plan();
    paused.send(false);
    paused.readAll();

    assertThat(paused.permits.usable(TEAM)).isZero();
    assertThat(head().heldBy(paused.self)).isZero();
  }

  // One instance holds all permits and has work waiting without end; a single request enters at
  // another. Each permit that comes free would be refilled where it is, and that caller would wait
  // until morning. The split takes one from the large holder.
  @Test
  void newRequestIsNotStarvedByHolderOfAllPermits() {
    List<PermitFleetMember> members = joinAll(2, 16);
    members.get(0).waiting = 1_000;
    settle();
    assertThat(members.get(0).running()).isEqualTo(16);
    members.get(1).waiting = 1;

    settle();
    members.get(0).endOne();
    assertThat(members.get(0).start()).isFalse();
    settle();

    assertThat(members.get(1).running()).isEqualTo(1);
  }

  // One permit in all and three instances with work. Each gets its turn, in the order in which they
  // have gone without.
  @Test
  void singlePermitRotatesAmongInstances() {
    List<PermitFleetMember> members = joinAll(3, 1);
    members.forEach(member -> member.waiting = 10);
    for (int turn = 0; turn < 9; turn++) {
      settle();
      assertThat(fleet.running()).isEqualTo(1);
      members.forEach(PermitFleetMember::endOne);
    }

    settle();

    assertThat(members).allMatch(member -> member.started >= 3);
  }

  // The team is at its limit and an urgent task enters where no permit is. The next task that ends
  // anywhere makes room for it, before a hundred that have waited longer.
  @Test
  void urgentDemandIsServedFirst() {
    List<PermitFleetMember> members = joinAll(3, 4);
    members.get(0).waiting = 100;
    members.get(1).waiting = 100;
    settle();
    members.get(2).waiting = 1;
    members.get(2).urgent = 1;
    settle();
    members.get(0).endOne();
    members.get(1).endOne();

    settle();

    assertThat(members.get(2).running()).isEqualTo(1);
  }

  // Bursts come and go below the limit. A hold must not follow each of them up and down, at a
  // record
  // each, and must be given back in the end.
  @Test
  void holdsGrowInStepsAndShrinkAfterDelay() {
    PermitFleetMember member = joinAll(2, 1_000).get(0);
    int before = fleet.log.size();
    for (int index = 0; index < 100; index++) {
      member.waiting++;
      member.plan();
      member.sendAll();
      member.readAll();
      assertThat(member.start()).isTrue();
    }
    assertThat(fleet.log.size() - before).isLessThanOrEqualTo(20);
    assertThat(head().heldBy(member.self)).isBetween(100, 130);

    while (member.running() > 0) {
      member.endOne();
    }
    settle();

    assertThat(head().sum()).isZero();
  }

  // Everything at once, in random order: requests that race, answers that are lost, limits that
  // move, instances that pause, are taken over, wake, restart. After each step: no record that
  // raised the holds took them over the limit; what really runs has its permits; and no start took
  // the team over every limit that was in force since the starter last read the log.
  @Property(tries = 300, seed = "11")
  void randomOperationsStayWithinLimit(@ForAll Random random) {
    PermitFleet chaos = new PermitFleet(6);
    chaos.configure(10);
    for (int index = 0; index < 4; index++) {
      chaos.join("i" + index);
    }
    for (int step = 0; step < 1_500; step++) {
      int sumBefore = chaos.head.team(TEAM).sum();
      step(chaos, random);
      TeamPermits team = chaos.head.team(TEAM);
      if (team.sum() > sumBefore) {
        assertThat(team.sum()).isLessThanOrEqualTo(team.limit());
      }
      assertThat(chaos.running()).isLessThanOrEqualTo(team.sum());
    }
    assertThat(chaos.log).isNotEmpty();
  }

  // A new instance starts after the first records have expired, from a snapshot and the records
  // after it. It must grant as all others do, or two of them would count on the same permit.
  @Property(tries = 200, seed = "12")
  void snapshotAndLaterRecordsReachTheSameState(@ForAll Random random) throws Exception {
    PermitFleet chaos = new PermitFleet(6);
    chaos.configure(10);
    for (int index = 0; index < 4; index++) {
      chaos.join("i" + index);
    }
    PermitState atCut = PermitState.EMPTY;
    int cut = 100 + random.nextInt(300);
    for (int step = 0; step < 500; step++) {
      step(chaos, random);
      if (step == cut) {
        atCut = chaos.head;
      }
    }
    MessagePackCodec<PermitRecord> codec = new MessagePackCodec<>(PermitRecord.class);
    PermitRecord snapshot = codec.decode(codec.encode(PermitSnapshots.write("s", atCut)));

    PermitState late = PermitFold.apply(PermitState.EMPTY, chaos.log.size(), snapshot).state();
    for (int offset = (int) late.offset() + 1; offset < chaos.log.size(); offset++) {
      late = PermitFold.apply(late, offset, chaos.log.get(offset)).state();
    }

    assertThat(late).isEqualTo(chaos.head);
  }

  private void takeOver(PermitFleetMember adopter, PermitFleetMember gone) {
    for (PermitFleet.Worker worker : fleet.workers.values()) {
      if (gone.self.equals(worker.controller)) {
        adopter.claim(worker);
      }
    }
    settle();
    adopter.fence(gone.self);
    settle();
    adopter.adoptAll();
    settle();
    adopter.retire(gone.self);
    settle();
  }

  private static void step(PermitFleet chaos, Random random) {
    chaos.now += random.nextInt(500);
    PermitFleetMember member = pick(chaos.members.values(), random);
    PermitFleet.Worker worker = pick(chaos.workers.values(), random);
    int dice = random.nextInt(100);
    if (dice < 2) {
      if (random.nextInt(4) == 0) {
        chaos.configure(random.nextInt(25));
      }
    } else if (dice < 5) {
      member.paused = !member.paused && random.nextInt(5) == 0;
    } else if (dice < 8 && (member.paused || chaos.head.isFenced(member.self))) {
      chaos.join(member.self.instance());
    } else if (dice < 10 && !chaos.log.isEmpty()) {
      // An append that was given up arrives after all, long after its repeat.
      chaos.append(chaos.log.get(random.nextInt(chaos.log.size())));
    } else if (dice < 13) {
      worker.tasks.keySet().stream().findFirst().ifPresent(worker::end);
    } else if (dice < 26) {
      member.waiting += random.nextInt(6);
    } else if (!member.paused) {
      act(chaos, member, worker, random);
    }
  }

  private static void act(
      PermitFleet chaos, PermitFleetMember member, PermitFleet.Worker worker, Random random) {
    // Views of who is gone are wrong now and then.
    Predicate<Holder> isGone =
        holder -> !holder.equals(member.self) && chaos.isLive(holder) == (random.nextInt(60) == 0);
    switch (random.nextInt(10)) {
      case 0 -> {
        if (worker.controller == null
            || isGone.test(worker.controller)
            || member.permits.state().isFenced(worker.controller)) {
          member.claim(worker);
        }
      }
      case 1 -> member.adoptAll();
      case 2 -> {
        Holder other = pick(chaos.members.values(), random).self;
        if (isGone.test(other) && !member.permits.state().isFenced(other)) {
          member.fence(other);
        }
        member.permits.state().holders().stream()
            .filter(member.permits.state()::isFenced)
            .findAny()
            .ifPresent(member::retire);
      }
      case 3 -> member.plan();
      case 4, 5 -> member.send(random.nextInt(4) == 0);
      case 6, 7 -> member.read(1 + random.nextInt(8));
      default -> {
        long view = member.permits.state().offset();
        while (member.start()) {
          assertThat(chaos.running()).isLessThanOrEqualTo(chaos.largestLimitSince(view));
        }
      }
    }
  }

  private static <T> T pick(Collection<T> all, Random random) {
    return new ArrayList<>(all).get(random.nextInt(all.size()));
  }
}
