import io.vertx.core.json.JsonObject;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A task that lasts has used more run numbers than an epoch has when its owner is replaced. */
final class Case13 {

  private static final String LASTING = "00000000000000a5";
  private static final String OTHER = "00000000000000b5";

  /** Rule LOST: 6 s after its last run, for 3 s with room for it, without a disruption near. */
  private static final long MOST_WAIT_MILLIS = 9_000;

  private static final int RUNS = 1_150;

  private Case13() {}

  public static void main(String[] arguments) {
    Case.run("review/13/record.txt", Case13::holds);
  }

  private static boolean holds(Rig rig) throws Exception {
    Case.Watch watch = new Case.Watch(LASTING + ".0.0.0");
    int[] last = {0};
    AtomicInteger refused = new AtomicInteger();
    AtomicInteger others = new AtomicInteger();
    AtomicBoolean sound = new AtomicBoolean();
    Worker.LASTING.add(LASTING);
    Case.begin(
        rig,
        7,
        // The task fails at once, as one with a wrong setting does, and is sound in the end.
        (task, run) ->
            task.startsWith(OTHER) ? 12_000 : sound.get() ? 300_000 : -5,
        (what, worker, task, run) -> {
          watch.event(rig, what, worker, task, run);
          if (task.startsWith(OTHER)) {
            others.addAndGet(what.equals("started") ? 1 : what.equals("done") ? -1 : 0);
          } else if (what.equals("started")) {
            last[0] = Math.max(last[0], run);
          } else if (what.equals("refused as old")) {
            refused.incrementAndGet();
          }
          if (task.startsWith(OTHER) || run < 5 || run % 100 < 2 || run > RUNS) {
            rig.note("%s: %s %s run %d", worker.id, what, task, run);
          }
        });
    JsonObject lasting =
        Case.submission(
            "watch", Case.step(1, 500, 256, 1_000).put("Persistent", true).put("Requires", "b"));
    if (!Case.submit(rig, 0, "key-a", LASTING, lasting)) {
      throw new IllegalStateException("not accepted in calm");
    }
    while (last[0] < RUNS) {
      if (rig.millis() > 75_000) {
        throw new IllegalStateException("only " + last[0] + " runs");
      }
      Thread.sleep(5);
    }
    // More urgent work of another tenant takes the only worker of that kind for 12 s.
    JsonObject other =
        Case.submission("work", Case.step(1, 16_000, 256, 12_000).put("Requires", "b"));
    if (!Case.submit(rig, 1, Rig.URGENT_PREFIX, "key-b", OTHER, other)) {
      throw new IllegalStateException("not accepted in calm");
    }
    while (others.get() < 1) {
      if (rig.millis() > 85_000) {
        throw new IllegalStateException("the other work has not begun");
      }
      Thread.sleep(5);
    }
    sound.set(true);
    rig.note("the other work runs; the last run of the lasting task was %d", last[0]);
    Thread.sleep(1_500);
    if (Case.trouble()) {
      rig.signal(rig.instances.get(rig.store.lastConditionalWriter), "KILL");
      Thread.sleep(2_000);
      rig.restartEnded();
    }
    while (others.get() > 0) {
      Thread.sleep(20);
    }
    long roomSince = rig.millis();
    rig.note("the other work is done; there is room");
    boolean held = true;
    while (held && rig.millis() < 116_000 && watch.awayMillis(rig) > 0) {
      Thread.sleep(500);
      held = watch.awayMillis(rig) == 0 || rig.millis() - roomSince <= MOST_WAIT_MILLIS;
    }
    rig.note(
        "%d ms after there was room the lasting task %s; starts refused as old: %d",
        rig.millis() - roomSince,
        watch.awayMillis(rig) == 0 ? "runs" : "has no run",
        refused.get());
    return held;
  }
}
