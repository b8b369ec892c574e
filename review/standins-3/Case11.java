import io.vertx.core.json.JsonObject;
import java.util.concurrent.atomic.AtomicInteger;

/** A batch of one tenant that cannot be done, after which nothing starts for anybody. */
final class Case11 {

  private static final String LASTING = "00000000000000a3";
  private static final String BROKEN = "00000000000000b3";
  private static final int CALM_MILLIS = 4_000;

  /** Rule LOST: from 6 s after the last run, for 3 s. */
  private static final long MOST_AWAY_MILLIS = 9_000;

  private Case11() {}

  public static void main(String[] arguments) {
    Case.run("review/11/record.txt", Case11::holds);
  }

  private static boolean holds(Rig rig) throws Exception {
    AtomicInteger failed = new AtomicInteger();
    long[] lastFailure = {0};
    Case.Watch watch = new Case.Watch(LASTING + ".0.0.0");
    boolean[] fails = {false};
    Worker.LASTING.add(LASTING);
    Case.begin(
        rig,
        7,
        (task, run) ->
            task.startsWith(LASTING)
                ? (run == 1 ? -6_000 : 200_000)
                : task.startsWith(BROKEN) ? (Case.trouble() ? -100 : 100) : 300,
        (what, worker, task, run) -> {
          watch.event(rig, what, worker, task, run);
          if (!task.startsWith(BROKEN)) {
            rig.note("%s: %s %s run %d", worker.id, what, task, run);
          } else if (what.equals("failed")) {
            failed.incrementAndGet();
            lastFailure[0] = rig.millis();
          }
        });
    JsonObject lasting =
        Case.submission("watch", Case.step(1, 500, 256, 1_000).put("Persistent", true));
    if (!Case.submit(rig, 0, "key-a", LASTING, lasting)) {
      throw new IllegalStateException("not accepted in calm");
    }
    while (watch.runs() == 0) {
      Thread.sleep(20);
    }
    Thread.sleep(4_000);
    Case.submit(
        rig, 1, "key-b", BROKEN, Case.submission("no such command", Case.step(256, 2_000, 1_024, 100)));
    long longestAway = 0;
    for (int tenth = 0; tenth < 400; tenth++) {
      Thread.sleep(100);
      // Counts only time in which, and for the 4 s before which, nothing fails.
      if (rig.millis() - MOST_AWAY_MILLIS + 6_000 - CALM_MILLIS > lastFailure[0]) {
        longestAway = Math.max(longestAway, watch.awayMillis(rig));
      }
      if (tenth == 20) {
        Case.submit(
            rig, 2, "key-a", "00000000000000a4", Case.submission("check", Case.step(2, 500, 256, 300)));
      }
      if (tenth % 20 == 0) {
        rig.note(
            "runs of the batch that failed %d, the last at %.3f s; the lasting task is away for %d ms;"
                + " running on all workers %d; small submission %s",
            failed.get(),
            lastFailure[0] / 1_000.0,
            watch.awayMillis(rig),
            rig.workers.stream().mapToInt(Worker::runningCount).sum(),
            Case.state(rig, 3, "key-a", "00000000000000a4"));
      }
    }
    rig.note("state of the batch: %s", Case.state(rig, 3, "key-b", BROKEN));
    rig.note(
        "longest time without a run of the lasting task, in calm: %d ms, allowed %d",
        longestAway, MOST_AWAY_MILLIS);
    return longestAway <= MOST_AWAY_MILLIS;
  }
}
