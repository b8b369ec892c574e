import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;

/** What the cases share: exit codes, submissions, and the switch of the disruption. */
final class Case {

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  private Case() {}

  /** What a case does; it returns whether the rule held. */
  interface Body {
    boolean holds(Rig rig) throws Exception;
  }

  /** Returns whether the disruption is wanted. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Runs a case, writes its record and ends the process with its exit code. */
  static void run(String record, Body body) {
    int code = COULD_NOT_RUN;
    try (Rig rig = new Rig(Path.of(record))) {
      rig.note("the disruption is %s", trouble() ? "on" : "off");
      try {
        code = body.holds(rig) ? HELD : BROKEN;
      } catch (Exception error) {
        rig.note("could not run: %s", error);
        error.printStackTrace();
      }
      rig.note(
          code == HELD ? "the rule held" : code == BROKEN ? "THE RULE WAS BROKEN" : "no result");
    } catch (Exception error) {
      error.printStackTrace();
    }
    System.out.println(code == HELD ? "held" : code == BROKEN ? "broken" : "could not run");
    System.exit(code);
  }

  /** Returns a step; further fields may be put into it. */
  static JsonObject step(int count, int cpu, int memory, long estimateMillis) {
    return new JsonObject()
        .put("Count", count)
        .put("Cpu", cpu)
        .put("MemMb", memory)
        .put("EstimateMs", estimateMillis);
  }

  static JsonObject submission(String text, JsonObject... steps) {
    JsonArray phases = new JsonArray();
    for (JsonObject step : steps) {
      phases.add(step);
    }
    return new JsonObject().put("Spec", text).put("Phases", phases);
  }

  /** Submits as a sound caller does: again, after a second, while the answer is 429, 503 or 504. */
  static boolean submit(Rig rig, int at, String key, String id, JsonObject body) throws Exception {
    return submit(rig, at, Rig.PREFIX, key, id, body);
  }

  static boolean submit(Rig rig, int at, String prefix, String key, String id, JsonObject body)
      throws Exception {
    for (int attempt = 0; attempt < 5; attempt++) {
      Rig.Instance instance = rig.instances.get((at + attempt) % rig.instances.size());
      int status = rig.call(instance, "POST", prefix + id, key, body, 3_000).status();
      rig.note("POST %s at instance %d -> %d", id, instance.index, status);
      if (status == 200) {
        return true;
      }
      Thread.sleep(1_000);
    }
    return false;
  }

  static String state(Rig rig, int at, String key, String id) {
    Rig.Answer answer =
        rig.call(
            rig.instances.get(at % rig.instances.size()),
            "GET",
            Rig.PREFIX + id,
            key,
            null,
            3_000);
    return answer.status() + " " + answer.body();
  }

  /** Configures one queue and two tenants, and starts all that there is. */
  static void begin(
      Rig rig, int instances, Worker.Workload workload, Worker.Listener listener)
      throws Exception {
    rig.configure(
        3,
        new JsonArray()
            .add(Rig.route("r-a", Rig.PREFIX, 1, 3))
            .add(Rig.route("r-b", Rig.URGENT_PREFIX, 0, 3)),
        new JsonArray().add(Rig.tenant("tenant-a", "key-a")).add(Rig.tenant("tenant-b", "key-b")));
    rig.addWorkers(32, workload, listener);
    rig.startInstances(instances);
    if (!rig.awaitReady(30_000)) {
      throw new IllegalStateException("the instances are not ready");
    }
    Thread.sleep(1_500);
  }

  /** When a task was last at work, and since when not; for tasks that last. */
  static final class Watch {
    private final String task;
    private int running;
    private long endedAt = -1;
    private int runs;

    Watch(String task) {
      this.task = task;
    }

    synchronized void event(Rig rig, String what, Worker worker, String name, int run) {
      if (!name.equals(task)) {
        return;
      }
      switch (what) {
        case "started" -> {
          running++;
          runs++;
        }
        case "forgotten", "refused as old" -> {}
        default -> {
          running--;
          endedAt = rig.millis();
        }
      }
    }

    /** Returns for how long no run of the task has been active, in milliseconds. */
    synchronized long awayMillis(Rig rig) {
      return running > 0 || endedAt < 0 ? 0 : rig.millis() - endedAt;
    }

    synchronized int runs() {
      return runs;
    }
  }
}
