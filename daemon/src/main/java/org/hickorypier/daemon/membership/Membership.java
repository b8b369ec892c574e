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
 * Feeds the {@link MembershipView} with the instance list, the links and the drains, and asks it
 * with the time of the timer service.
 *
 * <p>What the view can get wrong, and why that does no harm, is told there. Not thread safe: it
 * belongs to the control thread.
 */
public final class Membership implements PeerListener {

  private final PeerIdentity own;
  private final TimerService timers;
  private final MembershipView view;

  /**
   * Creates a membership that knows only its own instance.
   *
   * @param own this instance
   * @param peerTimeout how long a link may be down before the peer looks dead
   * @param timers the time
   */
  public Membership(PeerIdentity own, Duration peerTimeout, TimerService timers) {
    this.own = own;
    this.timers = timers;
    this.view = new MembershipView(own.name(), peerTimeout.toMillis());
  }

  /**
   * Takes in the platform's instance list.
   *
   * @param instances the whole list
   */
  public void onInstanceList(List<ListedInstance> instances) {
    List<ListedMember> entries =
        instances.stream()
            .filter(instance -> instance.kind() == InstanceKind.ENTRY)
            .map(Membership::member)
            .toList();
    view.updateListed(entries, timers.nowMillis());
  }

  /**
   * Takes in the operators' drains.
   *
   * @param names all drained instances and workers
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
   * Returns the instances that look live, this one included.
   *
   * @return their names
   */
  public Set<String> live() {
    return view.liveInstances(timers.nowMillis());
  }

  /**
   * Returns the instances that new work and workers go to.
   *
   * @return their names
   */
  public Set<String> candidates() {
    return view.candidates(timers.nowMillis());
  }

  /**
   * Tells whether an incarnation looks live.
   *
   * @param identity the incarnation
   * @return true for this instance's own
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
  public String wantedController(String worker) {
    return view.preferredInstance(worker, timers.nowMillis());
  }

  /**
   * Returns the home of a piece of work, where repeated requests meet.
   *
   * @param key the work's key
   * @return the instance's name
   */
  public String home(WorkKey key) {
    return view.preferredInstance(key.toString(), timers.nowMillis());
  }

  private static ListedMember member(ListedInstance instance) {
    return new ListedMember(instance.name(), instance.state() == InstanceState.LEAVING);
  }
}
