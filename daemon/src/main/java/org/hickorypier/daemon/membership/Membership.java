package org.hickorypier.daemon.membership;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.hickorypier.core.membership.ListedMember;
import org.hickorypier.core.membership.MembershipView;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.peer.PeerListener;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.instance.InstanceKind;
import org.hickorypier.platform.instance.InstanceState;
import org.hickorypier.platform.instance.ListedInstance;

/**
 * Updates a {@link MembershipView} from the instance list, the peer links and the drains, and
 * queries it with the time of the timer service.
 *
 * <p>{@link MembershipView} documents in which cases the view is wrong, and why that is harmless.
 * Confined to the control thread.
 */
public final class Membership implements PeerListener {

  private final PeerIdentity own;
  private final TimerService timers;
  private final MembershipView view;

  /**
   * Creates a membership that contains only this instance.
   *
   * @param own the identity of this instance
   * @param peerTimeout how long a link may be down before the peer is considered dead
   * @param timers the clock
   */
  public Membership(PeerIdentity own, Duration peerTimeout, TimerService timers) {
    this.own = own;
    this.timers = timers;
    this.view = new MembershipView(own.name(), peerTimeout.toMillis());
  }

  /**
   * Updates the view from the platform's instance list.
   *
   * @param instances the whole instance list
   */
  public void onInstanceList(List<ListedInstance> instances) {
    List<ListedMember> entries =
        instances.stream()
            .filter(instance -> instance.kind() == InstanceKind.ENTRY)
            .map(Membership::toListedMember)
            .toList();
    view.updateListed(entries, timers.nowMillis());
  }

  /**
   * Updates the view from the operators' drains.
   *
   * @param names the names of all drained instances and workers
   */
  public void onDrains(Set<String> names) {
    view.updateDrained(names);
  }

  @Override
  public void up(PeerIdentity peer) {
    view.recordLinkUp(peer.name(), peer.incarnation(), timers.nowMillis());
  }

  @Override
  public void down(PeerIdentity peer) {
    view.recordLinkDown(peer.name(), timers.nowMillis());
  }

  /**
   * Returns the instances that are considered live, including this one.
   *
   * @return their names
   */
  public Set<String> live() {
    return view.liveInstances(timers.nowMillis());
  }

  /**
   * Returns the instances to which new work and workers are assigned.
   *
   * @return their names
   */
  public Set<String> candidates() {
    return view.candidates(timers.nowMillis());
  }

  /**
   * Returns whether an incarnation is considered live.
   *
   * @param identity the incarnation
   * @return true if it is considered live; always true for this instance's own
   */
  public boolean isLive(PeerIdentity identity) {
    return identity.equals(own)
        || view.isLive(identity.name(), identity.incarnation(), timers.nowMillis());
  }

  /**
   * Returns the instance that should control a worker.
   *
   * @param worker the worker's name
   * @return the instance's name
   */
  public String preferredController(String worker) {
    return view.preferredInstance(worker, timers.nowMillis());
  }

  /**
   * Returns the home instance of a work key, to which repeated requests with the key are routed.
   *
   * @param key the key of the work
   * @return the instance's name
   */
  public String home(WorkKey key) {
    return view.preferredInstance(key.toString(), timers.nowMillis());
  }

  private static ListedMember toListedMember(ListedInstance instance) {
    return new ListedMember(instance.name(), instance.state() == InstanceState.LEAVING);
  }
}
