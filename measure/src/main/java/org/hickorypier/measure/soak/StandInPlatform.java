package org.hickorypier.measure.soak;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import org.hickorypier.core.cell.CustomerLimits;
import org.hickorypier.core.cluster.CustomerAccess;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.verification.GuaranteeChecker;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.standins.http.StoreServer;
import org.hickorypier.standins.main.MonotonicClock;
import org.hickorypier.standins.operator.StandInOperator;
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

  /** Three attempts a task, an objective of twice the work and a second. */
  static final QueueTerms QUEUE =
      new QueueTerms("queue", SERVICE, 0, 3, 2, 1_000, Optional.empty());

  private static final String LOOPBACK = "127.0.0.1";
  static final Resources WORKER = new Resources(16_000, 64_000, 0);
  private static final Resources SMALL_LIMIT = new Resources(12_000, 0, 0);
  private static final int PARTITIONS = 4;
  private static final int WEIGHT = 100;
  private static final long WORK_UNIT_MILLIS = 200;
  private static final int DATA_CENTRES = 3;

  /** Where instances write which of them owns the cell: epoch, address and strength. */
  private static final String OWNERS = "keyed.hickorypier-directory";

  final InMemoryStore store = new InMemoryStore(PARTITIONS, new MonotonicClock());
  private final StandInOperator operator = new StandInOperator(store, HOST, PREFIX, QUEUE);
  final StoreServer storeServer;
  final GuaranteeChecker checker;
  final LastingTaskCheck lasting;
  final long seed;

  /** The workers that are to stay; those that drain are not here any more. */
  final List<StandInWorker> workers = new CopyOnWriteArrayList<>();

  private final Vertx vertx;
  private final ServiceAddress storeAddress;
  private String keyOfLarge = "key-of-large-0";
  private int keysGiven;
  private int workersBegun;

  StandInPlatform(
      Vertx vertx, int workerCount, GuaranteeChecker checker, LastingTaskCheck lasting, long seed)
      throws SoakException {
    this.seed = seed;
    this.vertx = vertx;
    this.checker = checker;
    this.lasting = lasting;
    storeServer = new StoreServer(vertx, store);
    storeAddress =
        new ServiceAddress(LOOPBACK, Waiting.forResult(storeServer.listen(0)).actualPort());
    checker.setLimit(SMALL, SMALL_LIMIT);
    configure();
    for (int index = 0; index < workerCount; index++) {
      workers.add(newWorker());
    }
  }

  private StandInWorker newWorker() throws SoakException {
    String id = "worker-" + workersBegun++;
    checker.setCapacity(id, WORKER);
    StandInWorker worker = new StandInWorker(vertx, id, this, WORK_UNIT_MILLIS);
    worker.begin();
    return worker;
  }

  /**
   * Lets a worker drain and leave, and puts a new one in its place; nothing happens to one that is
   * down. Only the thread of the soak calls this, since it waits for the event loop.
   */
  void release(int index, long drainMillis) throws SoakException {
    if (workers.get(index).drain(drainMillis)) {
      workers.set(index, newWorker());
    }
  }

  /** Returns the workers of a data centre, which are a third of all. */
  List<StandInWorker> dataCentre(int index) {
    return IntStream.range(0, workers.size())
        .filter(worker -> worker % DATA_CENTRES == index % DATA_CENTRES)
        .mapToObj(workers::get)
        .toList();
  }

  /** Returns the address in the newest record of an owner, or an empty string. */
  String ownerAddress() {
    JsonArray records = store.newest(OWNERS, 0, null, 1).getJsonArray("items");
    if (records.isEmpty()) {
      return "";
    }
    byte[] value = Base64.getDecoder().decode(records.getJsonObject(0).getString("Value"));
    return new String(value, StandardCharsets.UTF_8).split(" ")[1];
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
    operator.configure(
        List.of(
            customer(SMALL, "key-of-small", SMALL_LIMIT),
            customer(LARGE, keyOfLarge, Resources.NONE)));
  }

  private static CustomerAccess customer(String name, String key, Resources limit) {
    return new CustomerAccess(new CustomerLimits(name, WEIGHT, limit), Set.of(key));
  }
}
