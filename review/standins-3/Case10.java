import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/** Submissions of many steps that come at once, which take more memory than instances have. */
final class Case10 {

  private static final int CALLERS = 150;
  private static final int STEPS = 3_500;
  private static final int TRIES = 5;
  private static final long LENGTH_MILLIS = 95_000;

  private Case10() {}

  public static void main(String[] arguments) {
    Case.run("review/10/record.txt", Case10::holds);
  }

  private static boolean holds(Rig rig) throws Exception {
    Case.begin(rig, 7, (task, run) -> 300, (what, worker, task, run) -> {});
    JsonArray phases = new JsonArray();
    for (int index = 0; index < (Case.trouble() ? STEPS : STEPS / 100); index++) {
      phases.add(new JsonObject().put("Count", 1).put("Cpu", 500));
    }
    JsonObject body = new JsonObject().put("Spec", "many steps").put("Phases", phases);
    rig.note(
        "%d callers at once, each with a submission of %d steps, %d bytes",
        CALLERS, phases.size(), body.toBuffer().length());
    ExecutorService senders = Executors.newCachedThreadPool();
    int ended = 0;
    for (int burst = 0; rig.millis() < LENGTH_MILLIS && !isBroken(rig); burst++) {
      AtomicInteger[] answers = new AtomicInteger[600];
      List<Future<?>> callers = new ArrayList<>();
      for (int index = 0; index < CALLERS; index++) {
        String id = String.format("%08x%08x", burst + 1, index);
        int first = index;
        callers.add(senders.submit(() -> submit(rig, first, id, body, answers)));
      }
      while (!callers.stream().allMatch(Future::isDone)) {
        Thread.sleep(500);
        ended += rig.restartEnded();
      }
      StringBuilder counts = new StringBuilder();
      for (int status = 0; status < answers.length; status++) {
        if (answers[status] != null) {
          counts.append(status == 0 ? "none" : status).append(" x ").append(answers[status]).append(", ");
        }
      }
      rig.note("burst %d: answers %sprocesses ended so far %d", burst, counts, ended);
    }
    senders.shutdownNow();
    for (Rig.Instance instance : rig.instances) {
      rig.note(
          "instance %d: %d ends %s",
          instance.index, instance.starts - 1, rig.tail(instance, "OutOfMemory", 1));
    }
    rig.note("processes that ended by themselves: %d", ended);
    return !isBroken(rig);
  }

  /** Submits as a sound caller does, at another instance each time. */
  private static void submit(
      Rig rig, int first, String id, JsonObject body, AtomicInteger[] answers) {
    for (int attempt = 0; attempt < TRIES && rig.millis() < LENGTH_MILLIS; attempt++) {
      Rig.Instance at = rig.instances.get((first + attempt) % rig.instances.size());
      int status =
          Math.max(0, rig.call(at, "POST", Rig.PREFIX + id, "key-b", body, 3_000).status());
      synchronized (answers) {
        if (answers[status] == null) {
          answers[status] = new AtomicInteger();
        }
        answers[status].incrementAndGet();
      }
      if (status == 200) {
        return;
      }
      try {
        Thread.sleep(1_000);
      } catch (InterruptedException error) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Returns whether on two machines processes have ended by themselves three times. */
  private static boolean isBroken(Rig rig) {
    return rig.instances.stream().filter(instance -> instance.starts > 3).count() >= 2;
  }
}
