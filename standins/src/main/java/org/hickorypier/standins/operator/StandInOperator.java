package org.hickorypier.standins.operator;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.hickorypier.core.cluster.CustomerAccess;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.standins.store.InMemoryStore;

/**
 * Writes configurations with one queue to the store, as the platform's operator does.
 *
 * <p>Thread safe.
 */
public final class StandInOperator {

  private static final String TOPIC = "keyed.op";
  private static final String KEY = "config";
  private static final String EVACUATION_KEY_PREFIX = "evacuate/";

  /** The operator's versions rise in uneven steps. */
  private static final int VERSION_STEP = 3;

  private final InMemoryStore store;
  private final String host;
  private final String prefix;
  private final QueueTerms queue;
  private long version;

  /**
   * Creates the operator of one queue.
   *
   * @param store where the configuration is written
   * @param host the host that callers name
   * @param prefix the path below which submissions are
   * @param queue the queue
   */
  public StandInOperator(InMemoryStore store, String host, String prefix, QueueTerms queue) {
    this.store = store;
    this.host = host;
    this.prefix = prefix;
    this.queue = queue;
  }

  /**
   * Writes a new version; the store has acknowledged it when this returns.
   *
   * @param customers all customers with their keys
   */
  public synchronized void configure(List<CustomerAccess> customers) {
    version += VERSION_STEP;
    JsonArray tenants = new JsonArray();
    customers.forEach(customer -> tenants.add(customer(customer)));
    JsonObject configuration =
        new JsonObject()
            .put("Version", version)
            .put("Routes", new JsonArray().add(route()))
            .put("Tenants", tenants);
    store.put(TOPIC, KEY, configuration.toBuffer().getBytes());
  }

  /**
   * Requests that a data centre is evacuated.
   *
   * @param dataCentre the data centre
   */
  public void evacuate(String dataCentre) {
    store.put(TOPIC, EVACUATION_KEY_PREFIX + dataCentre, new JsonObject().toBuffer().getBytes());
  }

  /**
   * Withdraws the request to evacuate a data centre.
   *
   * @param dataCentre the data centre
   */
  public void withdrawEvacuation(String dataCentre) {
    store.put(TOPIC, EVACUATION_KEY_PREFIX + dataCentre, null);
  }

  private JsonObject route() {
    return new JsonObject()
        .put("Name", queue.name())
        .put("Host", host)
        .put("Prefix", prefix)
        .put("Service", queue.service())
        .put("Priority", queue.priority())
        .put("Attempts", queue.maxAttempts())
        .put("Stretch", queue.stretch())
        .put("SloMs", queue.objectiveMillis());
  }

  private static JsonObject customer(CustomerAccess customer) {
    Resources limit = customer.terms().limit();
    return new JsonObject()
        .put("Name", customer.terms().name())
        .put("ApiKeys", new JsonArray(List.copyOf(customer.keys())))
        .put("Weight", customer.terms().weight())
        .put(
            "UpperLimit",
            new JsonObject()
                .put("Cpu", limit.milliProcessors())
                .put("MemMb", limit.memoryMebibytes())
                .put("Gpu", limit.accelerators()));
  }
}
