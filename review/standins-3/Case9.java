import io.vertx.core.json.JsonObject;
import java.util.concurrent.atomic.AtomicInteger;

/** A submission of many occurrences whose progress outgrows a record of the store. */
final class Case9 {

  private static final String LASTING = "00000000000000a1";
  private static final String MANY = "00000000000000b1";

  /** Rule LOST: a task that lasts has a run again 6 s after its last one, or within 3 s more. */
  private static final long MOST_AWAY_MILLIS = 9_000;

  private Case9() {}

  public static void main(String[] arguments) {
    Case.run("review/9/record.txt", Case9::holds);
  }

  private static boolean holds(Rig rig) throws Exception {
    AtomicInteger done = new AtomicInteger();
    Case.Watch watch = new Case.Watch(LASTING + ".0.0.0");
    Worker.LASTING.add(LASTING);
    Case.begin(
        rig,
        7,
        // The lasting task fails now and then, as tasks that last may; all others end well.
        (task, run) -> task.startsWith(LASTING) ? -8_000 : 50,
        (what, worker, task, run) -> {
          watch.event(rig, what, worker, task, run);
          if (!task.startsWith(MANY)) {
            rig.note("%s: %s %s run %d", worker.id, what, task, run);
          } else if (what.equals("done")) {
            done.incrementAndGet();
          }
        });
    JsonObject lasting =
        Case.submission("watch", Case.step(1, 500, 256, 1_000).put("Persistent", true));
    // Due one each millisecond, the first ones 30 s ago.
    JsonObject many =
        Case.submission("tick", Case.step(1, 10, 16, 50))
            .put("Times", Case.trouble() ? 100_000 : 60_000)
            .put("StartAtMs", System.currentTimeMillis() - 30_000)
            .put("IntervalMs", 1);
    if (!Case.submit(rig, 0, "key-a", LASTING, lasting)
        || !Case.submit(rig, 1, "key-b", MANY, many)) {
      throw new IllegalStateException("not accepted in calm");
    }
    long longestAway = 0;
    int unanswered = 0;
    int accepted = 0;
    for (int second = 0; second < 95; second++) {
      Thread.sleep(1_000);
      rig.restartEnded();
      longestAway = Math.max(longestAway, watch.awayMillis(rig));
      JsonObject small = Case.submission("check", Case.step(2, 500, 256, 50));
      int status =
          rig.call(
                  rig.instances.get(second % 7),
                  "POST",
                  Rig.PREFIX + String.format("%016x", 0x100 + second),
                  "key-a",
                  small,
                  3_000)
              .status();
      accepted += status == 200 ? 1 : 0;
      unanswered += status == 200 ? 0 : 1;
      rig.note(
          "occurrences done %d; longest record %d bytes; appends refused as too long %d;"
              + " POST of a small submission -> %d; the lasting task is away for %d ms",
          done.get(), rig.store.longestRecord, rig.store.tooLong, status, watch.awayMillis(rig));
      if (watch.awayMillis(rig) > MOST_AWAY_MILLIS + 6_000) {
        break;
      }
    }
    rig.note("state of the lasting submission: %s", Case.state(rig, 2, "key-a", LASTING));
    rig.note("state of the one with many occurrences: %s", Case.state(rig, 3, "key-b", MANY));
    rig.note(
        "longest time without a run of the lasting task %d ms, allowed %d; small submissions"
            + " accepted %d, not accepted %d",
        longestAway, MOST_AWAY_MILLIS, accepted, unanswered);
    return longestAway <= MOST_AWAY_MILLIS;
  }
}
