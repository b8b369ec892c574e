import io.vertx.core.json.JsonObject;
import java.util.concurrent.atomic.AtomicInteger;

/** A wide submission of small tasks whose runs take more memory than an owner has. */
final class Case13 {

  private static final String WIDE = "00000000000000b2";
  private static final int INSTANCES = Integer.getInteger("instances", 3);
  private static final int TASKS = Integer.getInteger("tasks", 60_000);

  private Case13() {}

  public static void main(String[] arguments) {
    Case.run("review/13/record.txt", Case13::holds);
  }

  private static boolean holds(Rig rig) throws Exception {
    AtomicInteger started = new AtomicInteger();
    AtomicInteger lapsed = new AtomicInteger();
    Case.begin(
        rig,
        INSTANCES,
        (task, run) -> task.startsWith(WIDE) ? 300_000 : 300,
        (what, worker, task, run) -> {
          if (!task.startsWith(WIDE)) {
            rig.note("%s: %s %s run %d", worker.id, what, task, run);
          } else if (what.equals("started")) {
            started.incrementAndGet();
          } else if (what.equals("lapsed")) {
            lapsed.incrementAndGet();
          }
        });
    JsonObject wide =
        Case.submission("work", Case.step(Case.trouble() ? TASKS : 2_000, 5, 16, 300_000));
    if (!Case.submit(rig, 0, "key-b", WIDE, wide)) {
      throw new IllegalStateException("not accepted in calm");
    }
    int ended = 0;
    for (int second = 0; rig.millis() < 108_000 && !isBroken(rig); second++) {
      Thread.sleep(1_000);
      ended += rig.restartEnded();
      String id = String.format("%016x", 0x100 + second);
      int status =
          rig.call(
                  rig.instances.get(second % INSTANCES),
                  "POST",
                  Rig.PREFIX + id,
                  "key-a",
                  Case.submission("check", Case.step(1, 100, 16, 300)),
                  3_000)
              .status();
      rig.note(
          "started %d, running %d, lapsed %d; POST of a small submission -> %d; ends so far %d",
          started.get(),
          rig.workers.stream().mapToInt(Worker::runningCount).sum(),
          lapsed.get(),
          status,
          ended);
    }
    for (Rig.Instance instance : rig.instances) {
      if (instance.starts > 1) {
        rig.note(
            "instance %d: %d ends; it wrote: %s",
            instance.index, instance.starts - 1, rig.tail(instance, "OutOfMemory", 1));
      }
    }
    rig.note("processes that ended by themselves: %d", ended);
    return !isBroken(rig);
  }

  /** Returns whether on two machines processes have ended by themselves three times. */
  private static boolean isBroken(Rig rig) {
    return rig.instances.stream().filter(instance -> instance.starts > 3).count() >= 2;
  }
}
