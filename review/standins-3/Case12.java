import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** A cancelling that is answered with 410 while its submission waits for the store. */
final class Case12 {

  private static final int CANCEL_MILLIS = 3_000;
  private static final int STOP_MILLIS = 900;
  private static final int STABLE_WINDOW_MILLIS = 3_000;
  private static final int ROUNDS = 5;

  /** The caller leaves after this time: half of an objective of 250 ms, as for {@code enrol}. */
  private static final int LEAVES_AFTER_MILLIS = 125;

  private static final int BUDGET_MILLIS = 3_000;

  private Case12() {}

  public static void main(String[] arguments) {
    Case.run("review/12/record.txt", Case12::holds);
  }

  private static boolean holds(Rig rig) throws Exception {
    List<String> lateStarts = new ArrayList<>();
    long[] acknowledgedAt = {Long.MAX_VALUE};
    String[] present = {""};
    Case.begin(
        rig,
        7,
        (task, run) -> 5_000,
        (what, worker, task, run) -> {
          rig.note("%s: %s %s run %d", worker.id, what, task, run);
          synchronized (lateStarts) {
            if (what.equals("started")
                && task.startsWith(present[0])
                && rig.millis() - CANCEL_MILLIS > acknowledgedAt[0]) {
              lateStarts.add(task);
            }
          }
        });
    int broken = 0;
    for (int round = 0; round < ROUNDS; round++) {
      String id = String.format("%016x", 0xc0 + round);
      present[0] = id;
      acknowledgedAt[0] = Long.MAX_VALUE;
      lateStarts.clear();
      if (Case.trouble()) {
        rig.store.answerMillis = 240;
        rig.note("the store answers after 240 ms instead of 4 ms");
        Thread.sleep(1_000);
      }
      JsonObject body =
          Case.submission(
              "two steps of 5 s",
              Case.step(2, 1_000, 256, 5_000),
              Case.step(2, 1_000, 256, 5_000)
                  .put("DependsOn", new io.vertx.core.json.JsonArray().add(0)));
      Rig.Instance instance = rig.instances.get(round);
      rig.note("POST %s at instance %d", id, instance.index);
      Rig.Answer posted =
          Rig.call(
              instance.front,
              "POST",
              Rig.PREFIX + id,
              Rig.HOST,
              "key-a",
              body,
              BUDGET_MILLIS,
              LEAVES_AFTER_MILLIS);
      rig.note(
          "%s",
          posted.status() > 0
              ? "-> " + posted.status()
              : "the caller leaves without an answer after " + LEAVES_AFTER_MILLIS + " ms");
      Rig.Answer cancelled =
          rig.call(instance, "DELETE", Rig.PREFIX + id, "key-a", null, 3_000);
      rig.note("DELETE %s -> %d %s", id, cancelled.status(), cancelled.body());
      boolean acknowledged = cancelled.status() == 200 || cancelled.status() == 410;
      if (acknowledged) {
        acknowledgedAt[0] = rig.millis();
      }
      rig.store.answerMillis = 4;
      Thread.sleep(CANCEL_MILLIS + STOP_MILLIS + STABLE_WINDOW_MILLIS);
      int running =
          (int)
              rig.workers.stream()
                  .flatMap(worker -> worker.runningTasks().stream())
                  .filter(task -> task.startsWith(id))
                  .count();
      String state = Case.state(rig, round + 1, "key-a", id);
      int starts;
      synchronized (lateStarts) {
        starts = lateStarts.size();
      }
      boolean held = !acknowledged || running == 0 && starts == 0;
      broken += held ? 0 : 1;
      rig.note(
          "round %d: %d ms after the DELETE was answered %d, %d tasks run, %d were started more than"
              + " cancel_ms after it, GET -> %s: %s",
          round,
          CANCEL_MILLIS + STOP_MILLIS + STABLE_WINDOW_MILLIS,
          cancelled.status(),
          running,
          starts,
          state,
          held ? "held" : "broken");
      rig.call(instance, "DELETE", Rig.PREFIX + id, "key-a", null, 3_000);
      Thread.sleep(1_500);
    }
    rig.note("rounds in which the rule was broken: %d of %d", broken, ROUNDS);
    return broken == 0;
  }
}
