import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Another writer keeps an entry among those of the workers: of a service that no configuration
 * names, with a number of another type. Broken if a submission that was accepted then, and whose
 * times have come, has nothing running for 3 s at the time when submissions are asked for at the
 * end, {@code finish_s} after the traffic, while almost all of the workers' room is free.
 */
final class EntryCase {

  private static final long FINISH_MILLIS = 14_000;
  private static final long WITHOUT_RUN_MILLIS = 3_000;
  private static final long DUE_MILLIS = 3_000;
  private static final int INTERVAL_MILLIS = 1_000;
  private static final int TIMES = 2;

  private EntryCase() {}

  public static void main(String[] arguments) {
    Standins.main(arguments, 3, EntryCase::run);
  }

  private static int run(Standins.Deployment site, boolean trouble) throws Exception {
    Map<String, String> runs = new ConcurrentHashMap<>();
    Standins.RunObserver observer =
        new Standins.RunObserver() {
          @Override
          public void started(String worker, String task, int run) {
            site.recorder.add("worker " + worker + ": " + task + " run " + run + " starts");
            runs.put(task, "started");
          }

          @Override
          public void ended(String worker, String task, int run, String how) {
            site.recorder.add("worker " + worker + ": " + task + " run " + run + " ends " + how);
            runs.put(task, how);
          }
        };
    site.configure(new JsonArray().add(Standins.Deployment.route("enrol", 0, 3, 1.5, 250)));
    for (int index = 0; index < 6; index++) {
      Standins.Worker worker =
          new Standins.Worker(
              "i-" + index, site.store, site.recorder, observer, List.of("a", "r1"), 16_000);
      site.workers.add(worker);
      worker.begin();
    }
    if (!site.awaitReady(20_000)) {
      return 2;
    }
    Standins.sleep(4_000);
    if (trouble) {
      writeForeignEntry(site);
      Standins.sleep(2_000);
    }
    String first = "5c0e7a21d94b36f0";
    if (hand(site, 0, first, new JsonObject()).status != 200) {
      site.recorder.add("the plain submission is not accepted");
      return 2;
    }
    Standins.sleep(2_000);
    String timed = "5c0e7a21d94b36f1";
    JsonObject times =
        new JsonObject()
            .put("Times", TIMES)
            .put("StartAtMs", System.currentTimeMillis() + DUE_MILLIS)
            .put("IntervalMs", INTERVAL_MILLIS);
    if (hand(site, 1, timed, times).status != 200) {
      site.recorder.add("the submission with times is not accepted");
      return 2;
    }
    long lastDue = Standins.now() + DUE_MILLIS + (TIMES - 1) * INTERVAL_MILLIS;
    site.recorder.add("the traffic ends; the last time is due at " + lastDue / 1000.0 + " s");
    Standins.sleep(FINISH_MILLIS);
    boolean without = true;
    for (long waited = 0; waited < WITHOUT_RUN_MILLIS; waited += 250) {
      without &= runs.keySet().stream().noneMatch(task -> task.startsWith(timed));
      Standins.sleep(250);
    }
    String state = state(site, 2, timed);
    site.recorder.add("plain submission: " + state(site, 2, first));
    site.recorder.add("submission with times: " + state + ", runs " + runs);
    if (without && Standins.now() - lastDue > WITHOUT_RUN_MILLIS) {
      site.recorder.add(
          "LOST is broken: no task of it has run "
              + (Standins.now() - lastDue)
              + " ms after its last time");
      return 1;
    }
    return state.contains("completed") ? 0 : 2;
  }

  /** Writes the entry each ping interval, as its writer does. */
  private static void writeForeignEntry(Standins.Deployment site) {
    JsonObject entry =
        new JsonObject()
            .put("Service", "archive")
            .put("Address", "127.0.0.1:9")
            .put("Zone", "a")
            .put("Version", "v1")
            .put("Slots", 8)
            .put("State", "ready")
            .put("ColdLeftMs", 0)
            .put(
                "Capacity",
                new JsonObject().put("Cpu", Double.MAX_VALUE).put("MemMb", 65_536).put("Gpu", 0))
            .put("Labels", new JsonArray().add("a").add("r1"))
            .put("born", System.currentTimeMillis());
    site.recorder.add("another writer keeps servers/x-archive: " + entry);
    Thread writer =
        new Thread(
            () -> {
              for (int sequence = 1; ; sequence++) {
                site.store.beat("x-archive", entry.copy().put("Sequence", sequence));
                Standins.sleep(1_500);
              }
            });
    writer.setDaemon(true);
    writer.start();
  }

  private static Standins.Answer hand(
      Standins.Deployment site, int instance, String id, JsonObject times) {
    JsonObject step =
        new JsonObject().put("Count", 2).put("Cpu", 1_400).put("MemMb", 4_000).put("EstimateMs", 640);
    JsonObject body =
        new JsonObject().put("Spec", "640").put("Phases", new JsonArray().add(step)).mergeIn(times);
    return site.caller.call(
        site.instances.get(instance).front, "POST", "/enrol/" + id, body, 3_000);
  }

  private static String state(Standins.Deployment site, int instance, String id) {
    return site.caller.call(
            site.instances.get(instance).front, "GET", "/enrol/" + id, null, 3_000)
        .body;
  }
}
