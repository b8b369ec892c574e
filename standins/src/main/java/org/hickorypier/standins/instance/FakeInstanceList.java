package org.hickorypier.standins.instance;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.hickorypier.platform.instance.InstanceList;
import org.hickorypier.platform.instance.InstanceListException;
import org.hickorypier.platform.instance.ListedInstance;
import org.hickorypier.standins.fault.Delays;
import org.hickorypier.standins.fault.FaultGate;
import org.hickorypier.standins.fault.GatedCalls;

/**
 * The instance list without a network, for tests.
 *
 * <p>Thread safe.
 */
public final class FakeInstanceList implements InstanceList {

  /** The name of the one call in fault plans. */
  public static final String READ = "read";

  private final InMemoryInstanceList list;
  private final FaultGate gate;

  /**
   * Creates the fake.
   *
   * @param list the list
   * @param delays runs what comes later
   */
  public FakeInstanceList(InMemoryInstanceList list, Delays delays) {
    this.list = list;
    this.gate = new FaultGate(delays);
  }

  /**
   * Returns the gate, to plan faults: operation {@code read}.
   *
   * @return the gate
   */
  public FaultGate faults() {
    return gate;
  }

  @Override
  public Uni<List<ListedInstance>> read() {
    return GatedCalls.uni(
        gate,
        READ,
        list::read,
        fault -> new InstanceListException("instance list: " + fault, null));
  }
}
