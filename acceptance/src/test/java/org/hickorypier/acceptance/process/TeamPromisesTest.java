package org.hickorypier.acceptance.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hickorypier.measure.fleet.CallerAnswer;
import org.hickorypier.measure.fleet.EntryProcess;
import org.hickorypier.measure.fleet.Fleet;
import org.hickorypier.measure.fleet.FleetException;
import org.hickorypier.measure.fleet.FleetSettings;
import org.hickorypier.measure.fleet.RequestForm;
import org.hickorypier.standins.worker.FleetHistory;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

/** Keys and limits of teams over separate processes, judged by the workers' own record. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class TeamPromisesTest {

  private static final Duration BOUND = Duration.ofSeconds(20);
  private static final int LIMIT = 8;
  private static final int UNAUTHORIZED = 401;

  private static Fleet fleet;

  @BeforeAll
  static void start() throws FleetException {
    fleet = Fleet.start(FleetSettings.quick(3, 1, 6));
    fleet.awaitControl();
  }

  @AfterAll
  static void stop() {
    if (fleet != null) {
      fleet.close();
    }
  }

  /**
   * The callers of the team hear 401 at every instance soon after its key was withdrawn, and those
   * of another team see nothing. The change reaches the instances through the log; each folds it.
   */
  @Test
  @Order(1)
  void withdrawnKeyStopsWorkingEverywhere() throws FleetException {
    String withdrawn = fleet.createTeam("leaving", LIMIT);
    String kept = fleet.createTeam("staying", LIMIT);
    for (EntryProcess entry : fleet.entries()) {
      RequestForm form = RequestForm.request("before-" + entry.name(), true, 10, 10);
      assertThat(fleet.call(entry, withdrawn, form).completed()).isTrue();
    }

    fleet.operate("withdraw key " + withdrawn.substring(0, withdrawn.indexOf('.')));

    for (EntryProcess entry : fleet.entries()) {
      fleet.until(
          "the key is refused at " + entry.name(),
          BOUND,
          () ->
              fleet.call(entry, withdrawn, RequestForm.request("after", true, 10, 10)).status()
                  == UNAUTHORIZED);
      RequestForm other = RequestForm.request("other-" + entry.name(), true, 10, 10);
      assertThat(fleet.call(entry, kept, other).completed()).isTrue();
    }
  }

  /**
   * Callers wait and all get their answers. Three instances admit a burst of a team at once, far
   * above its limit; one of them dies with permits in hand. The others take its workers over, adopt
   * its tasks with their permits, and never start more than the limit leaves.
   */
  @Test
  @Order(2)
  void teamStaysWithinItsLimitWhileAnInstanceDies() throws FleetException {
    Callers callers = new Callers(fleet, fleet.createTeam("labels", LIMIT));
    List<EntryProcess> entries = fleet.entries();
    List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
    for (int number = 0; number < 60; number++) {
      RequestForm form = RequestForm.request("burst-" + number, true, 400, 10).withDeadline(30_000);
      answers.add(callers.postUntilCompleted(entries.get(number % 2), form));
    }
    fleet.until("some have run", BOUND, () -> startsOf("labels") >= LIMIT);

    fleet.killEntry(entries.get(2));
    fleet.unlist(entries.get(2).name());
    answers.forEach(CompletableFuture::join);
    callers.close();

    assertThat(answers).allMatch(answer -> answer.join().completed());
    FleetHistory record = fleet.workers().history();
    assertThat(record.peakTasks("labels")).isBetween(1, LIMIT);
    assertThat(record.overlapping()).isEmpty();
    assertThat(record.overCapacity()).isEmpty();
  }

  private static long startsOf(String team) throws FleetException {
    return fleet.workers().history().starts().stream()
        .filter(run -> run.taskId().startsWith(team + "~"))
        .count();
  }
}
