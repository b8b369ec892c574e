import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two workers with the label that all submissions require crashes and starts again under its
 * id, as a worker of another kind. Broken if a task is then started on it.
 */
final class RouteCase {

  private static final int CRASHES = 6;
  private static final long UP_MILLIS = 4_000;
  private static final long DOWN_MILLIS = 1_500;
  private static final int SUBMISSIONS = 180;
  private static final long PERIOD_MILLIS = 200;
  private static final String REQUIRED = "b";
  private static final String OTHER = "a";

  private RouteCase() {}

  public static void main(String[] arguments) {
    Standins.main(arguments, 3, RouteCase::run);
  }

  private static int run(Standins.Deployment site, boolean trouble) throws Exception {
    AtomicInteger broken = new AtomicInteger();
    AtomicInteger done = new AtomicInteger();
    Standins.RunObserver observer =
        new Standins.RunObserver() {
          @Override
          public void started(String worker, String task, int run) {
            // Workers call this as they start a task, so their labels are those of this lifetime.
            boolean lawful =
                site.workers.stream()
                    .filter(each -> each.id.equals(worker))
                    .allMatch(each -> each.has(REQUIRED));
            site.recorder.add(
                "worker "
                    + worker
                    + ": "
                    + task
                    + " run "
                    + run
                    + " starts"
                    + (lawful ? "" : " without its label: ROUTE is broken"));
            broken.addAndGet(lawful ? 0 : 1);
          }

          @Override
          public void ended(String worker, String task, int run, String how) {
            site.recorder.add("worker " + worker + ": " + task + " run " + run + " ends " + how);
            done.addAndGet(how.equals("done") ? 1 : 0);
          }
        };
    site.configure(new JsonArray().add(Standins.Deployment.route("reminders", 2, 2, 4.0, 3_000)));
    for (int index = 0; index < 8; index++) {
      String kind = index < 2 ? REQUIRED : OTHER;
      Standins.Worker worker =
          new Standins.Worker(
              "i-" + index, site.store, site.recorder, observer, List.of(kind, "r1"), 16_000);
      site.workers.add(worker);
      worker.begin();
    }
    if (!site.awaitReady(20_000)) {
      return 2;
    }
    Standins.sleep(4_000);
    Thread callers = new Thread(() -> handIn(site));
    callers.start();
    for (int crash = 0; trouble && crash < CRASHES; crash++) {
      Standins.sleep(UP_MILLIS);
      site.workers.get(0).crash();
      Standins.sleep(DOWN_MILLIS);
      site.workers.get(0).begin(List.of(crash % 2 == 0 ? OTHER : REQUIRED, "r1"));
    }
    callers.join();
    Standins.sleep(2_000);
    site.recorder.add(broken + " starts on a worker without the label, " + done + " tasks done");
    return done.get() == 0 ? 2 : broken.get() > 0 ? 1 : 0;
  }

  private static void handIn(Standins.Deployment site) {
    JsonObject step =
        new JsonObject()
            .put("Count", 2)
            .put("Cpu", 4_000)
            .put("MemMb", 2_800)
            .put("EstimateMs", 3_400)
            .put("Requires", REQUIRED);
    JsonObject body =
        new JsonObject().put("Spec", "3400").put("Phases", new JsonArray().add(step));
    for (int number = 0; number < SUBMISSIONS; number++) {
      String path = "/reminders/" + "%016x".formatted(0x5c0e7a21d94b3000L + number);
      site.caller.call(site.instances.get(number % 3).front, "POST", path, body, 3_000);
      Standins.sleep(PERIOD_MILLIS);
    }
  }
}
