package org.hickorypier.measure.soak;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.verification.PromiseChecker;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.standins.http.StoreServer;
import org.hickorypier.standins.store.InMemoryStore;

/**
 * The platform of a soak: the store, the workers and the operator, in this process.
 *
 * <p>Thread safe.
 */
final class StandInPlatform {

  static final String SERVICE = "service";
  static final String HOST = "queue.example";
  static final String PREFIX = "/queue/";

  /** A customer with a limit of three quarters of one worker. */
  static final String SMALL = "small";

  static final String LARGE = "large";
  static final int ATTEMPTS = 3;
  static final double STRETCH = 2;
  static final int OBJECTIVE_MILLIS = 1_000;
  private static final String LOOPBACK = "127.0.0.1";
  private static final Resources WORKER = new Resources(16_000, 64_000, 0);
  private static final Resources SMALL_LIMIT = new Resources(12_000, 0, 0);
  private static final int PARTITIONS = 4;
  private static final int WEIGHT = 100;
  private static final long WORK_UNIT_MILLIS = 200;
  private static final int VERSION_STEP = 3;

  final InMemoryStore store = new InMemoryStore(PARTITIONS, () -> System.nanoTime() / 1_000_000);
  final StoreServer storeServer;
  final List<StandInWorker> workers = new ArrayList<>();
  private final ServiceAddress storeAddress;
  private long version;
  private String keyOfLarge = "key-of-large-0";
  private int keysGiven;

  StandInPlatform(Vertx vertx, int workerCount, PromiseChecker checker) throws SoakException {
    storeServer = new StoreServer(vertx, store);
    storeAddress =
        new ServiceAddress(LOOPBACK, Waiting.forResult(storeServer.listen(0)).actualPort());
    checker.limit(SMALL, SMALL_LIMIT);
    configure();
    for (int index = 0; index < workerCount; index++) {
      String id = "worker-" + index;
      checker.capacity(id, WORKER);
      StandInWorker worker = new StandInWorker(vertx, id, store, checker, WORK_UNIT_MILLIS);
      workers.add(worker);
      worker.begin();
    }
  }

  ServiceAddress storeAddress() {
    return storeAddress;
  }

  /** Returns the key of a customer that is in force. */
  synchronized String key(String customer) {
    return customer.equals(SMALL) ? "key-of-small" : keyOfLarge;
  }

  /** Withdraws the key of the large customer and gives it another; returns the withdrawn one. */
  synchronized String changeKey() {
    String withdrawn = keyOfLarge;
    keyOfLarge = "key-of-large-" + ++keysGiven;
    configure();
    return withdrawn;
  }

  private void configure() {
    version += VERSION_STEP;
    JsonObject route =
        new JsonObject()
            .put("Name", "queue")
            .put("Host", HOST)
            .put("Prefix", PREFIX)
            .put("Service", SERVICE)
            .put("Priority", 0)
            .put("Attempts", ATTEMPTS)
            .put("Stretch", STRETCH)
            .put("SloMs", OBJECTIVE_MILLIS);
    JsonArray customers =
        new JsonArray()
            .add(customer(SMALL, "key-of-small", SMALL_LIMIT))
            .add(customer(LARGE, keyOfLarge, Resources.NONE));
    JsonObject configuration =
        new JsonObject()
            .put("Version", version)
            .put("Routes", new JsonArray().add(route))
            .put("Tenants", customers);
    store.put("keyed.op", "config", configuration.toBuffer().getBytes());
  }

  private static JsonObject customer(String name, String key, Resources limit) {
    return new JsonObject()
        .put("Name", name)
        .put("ApiKeys", new JsonArray().add(key))
        .put("Weight", WEIGHT)
        .put(
            "UpperLimit",
            new JsonObject()
                .put("Cpu", limit.milliProcessors())
                .put("MemMb", limit.memoryMebibytes())
                .put("Gpu", limit.accelerators()));
  }
}
